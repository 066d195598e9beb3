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

/// The claim on a request that carries an idempotency key: a row of the
/// platform's table that says who runs it, and what became of it. All functions
/// are pure and thread safe.
///
///   (no row) -> claimed -> done | not_run | unknown
///   not_run  -> claimed, with the next epoch
///   claimed  -> unknown, or claimed by another if the call is idempotent, once
///               its holder is proved dead
///   unknown  -> claimed, if the call is idempotent
namespace caperpath::request
{

enum class claim_state
{
    claimed, ///< its holder may run it at any moment, or has
    done,    ///< `answer` is what it gave; final
    not_run, ///< proved by its holder; the next one may run it
    unknown  ///< it may have run; final unless idempotent
};

/// Row `claim/<request>`. Immutable value.
struct claim_row
{
    claim_state state{claim_state::claimed};
    std::uint64_t epoch{}; ///< grows with each claim, never goes back
    incarnation_id holder;
    /// Tells one claim from every other, so that the holder of a write whose
    /// answer was lost recognises it in the table.
    std::string ticket;
    std::string body_hash;
    bool idempotent{false};
    token_count billed{}; ///< over all epochs
    kept_answer answer;   ///< of `done`; its body may be in `object`
    std::string object;   ///< name of the object that holds the body
    instant keep_until{}; ///< wall clock; deleted by its holder after that

    friend bool operator==(claim_row const&, claim_row const&) = default;
};

/// How claims are kept. Immutable value.
struct claim_options
{
    /// How long a repeat finds the answer. Callers retry within minutes; a day
    /// lets a person press the button again after a night.
    duration retention{24 * 3'600'000};
    /// A longer body goes into an object: a row is read with every repeat and
    /// rewritten as a whole, and an order's receipt is well below this.
    std::size_t most_inline_bytes{4 * 1024};
    duration retry_after{1'000}; ///< for claims in progress elsewhere

    friend bool operator==(claim_options const&,
                           claim_options const&) = default;
};

/// Who claims. `holder_version` is that of its active holder row: each write
/// names it, so that fencing the holder refuses all of its late writes.
struct claimant
{
    incarnation_id incarnation;
    std::uint64_t holder_version{};
    std::string ticket;

    friend bool operator==(claimant const&, claimant const&) = default;
};

/// A claim's row as it stands in the table.
struct seen_claim
{
    std::optional<claim_row> row;
    std::uint64_t version{};
    /// True when the row's holder can provably never act again.
    bool holder_ended{false};

    friend bool operator==(seen_claim const&, seen_claim const&) = default;
};

/// What to do about a claim that was seen: write `txn` when it is set, and once
/// that is applied, or at once without it, give `reply`.
struct claim_decision
{
    std::optional<store::transaction> txn;
    claim_row wanted;
    claim_reply reply;

    friend bool operator==(claim_decision const&,
                           claim_decision const&) = default;
};

std::string claim_key(request_id const& request);

/// JSON text of a row.
std::string encode(claim_row const& row);

/// Error `invalid` when a member is missing or of another type.
result<claim_row> decode_claim(std::string const& text);

/// Decides for a request what `seen` means. `wall_now` is wall time.
claim_decision decide_claim(claim_request const& asked, claimant const& self,
                            seen_claim const& seen,
                            claim_options const& options, instant wall_now);

/// True when `seen` is the claim that `self` wrote: an answer of the table was
/// lost after the write took effect.
bool is_own_claim(claimant const& self, seen_claim const& seen);

/// The row that ends the claim `held`. `object` names the stored body, empty
/// when it is inline.
claim_row finished_row(claim_row held, claim_finish const& finish,
                       std::string const& object, claim_options const& options,
                       instant wall_now);

/// Writes `row` over the one with `version`, as long as the holder is active.
store::transaction claim_write(request_id const& request, claimant const& self,
                               std::uint64_t version, claim_row const& row);

/// True when the answer's body has to go into an object.
bool needs_object(claim_finish const& finish, claim_options const& options);

} // namespace caperpath::request

#endif
