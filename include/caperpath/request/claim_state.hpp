#ifndef CAPERPATH_REQUEST_CLAIM_STATE_HPP
#define CAPERPATH_REQUEST_CLAIM_STATE_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/error.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/request/claim.hpp>
#include <caperpath/store/table.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

/// The claim on a request with an idempotency key: a row of the platform's
/// table that records who runs the request and its result. All functions are
/// pure and thread safe.
///
///   (no row) -> claimed -> done | not_run | unknown
///   not_run  -> claimed, with the next epoch
///   claimed  -> once its holder is proved dead: claimed by another holder if
///               the call is idempotent, otherwise unknown
///   unknown  -> claimed, if the call is idempotent
namespace caperpath::request
{

enum class claim_state
{
    claimed, ///< its holder may run it or has run it
    done,    ///< `response` is the response; final
    not_run, ///< proved by its holder; a retry may run it
    unknown  ///< it may have run; final unless idempotent
};

/// Row `claim/<request>`. Immutable value.
struct claim_row
{
    claim_state state{claim_state::claimed};
    std::uint64_t epoch{}; ///< increases with each claim
    incarnation_id holder;
    /// Unique per claim: the holder recognises its own claim in the table after
    /// the response to its write was lost.
    std::string ticket;
    std::string body_hash;
    bool idempotent{false};
    token_count billed{};     ///< over all epochs
    stored_response response; ///< of `done`; its body may be in `object`
    std::string object;       ///< name of the object that holds the body
    instant keep_until{};     ///< wall clock; deleted by its holder after that

    friend bool operator==(claim_row const&, claim_row const&) = default;
};

/// Settings for storing claims. Immutable value.
struct claim_options
{
    /// How long retries find the response. Programs retry within minutes; a day
    /// also covers a person who retries the next morning.
    duration retention{24 * 3'600'000};
    /// A longer body is stored in an object, since each retry reads and each
    /// write replaces the whole row. A typical order receipt is well below
    /// this.
    std::size_t max_inline_bytes{4 * 1024};
    duration retry_after{1'000}; ///< for claims in progress elsewhere

    friend bool operator==(claim_options const&,
                           claim_options const&) = default;
};

/// The process that claims. `holder_version` is the version of its active
/// holder row and a condition of each write, so fencing the holder makes the
/// store reject its late writes.
struct claimant
{
    incarnation_id incarnation;
    std::uint64_t holder_version{};
    std::string ticket;

    friend bool operator==(claimant const&, claimant const&) = default;
};

/// A claim's row as read from the table.
struct claim_snapshot
{
    std::optional<claim_row> row;
    std::uint64_t version{};
    /// True if it is proved that the row's holder can never act again.
    bool holder_ended{false};

    friend bool operator==(claim_snapshot const&,
                           claim_snapshot const&) = default;
};

/// What to do about a claim that was read: write `txn` if it is set, then
/// return `reply`.
struct claim_decision
{
    std::optional<store::transaction> txn;
    claim_row wanted;
    claim_reply reply;

    friend bool operator==(claim_decision const&,
                           claim_decision const&) = default;
};

std::string claim_key(request_id const& request);

/// Returns the row as JSON text.
std::string encode(claim_row const& row);

/// Fails with `invalid` if a member is missing or has the wrong type.
result<claim_row> decode_claim(std::string const& text);

/// Decides what to do with a request whose claim is `seen`. `wall_now` is wall
/// clock time.
claim_decision decide_claim(claim_request const& asked, claimant const& self,
                            claim_snapshot const& seen,
                            claim_options const& options, instant wall_now);

/// Returns true if `self` wrote the claim `seen`: the write took effect and the
/// response was lost.
bool is_own_claim(claimant const& self, claim_snapshot const& seen);

/// Returns the row that ends the claim `held`. `object` names the object that
/// holds the body; empty if the body is inline.
claim_row finished_row(claim_row held, claim_finish const& finish,
                       std::string const& object, claim_options const& options,
                       instant wall_now);

/// Returns the transaction that replaces the row at `version` by `row`; the
/// store rejects it if the holder is no longer active.
store::transaction claim_write(request_id const& request, claimant const& self,
                               std::uint64_t version, claim_row const& row);

/// Returns true if the response body must be stored in an object.
bool needs_object(claim_finish const& finish, claim_options const& options);

} // namespace caperpath::request

#endif
