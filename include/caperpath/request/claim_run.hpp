#ifndef CAPERPATH_REQUEST_CLAIM_RUN_HPP
#define CAPERPATH_REQUEST_CLAIM_RUN_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/request/claim_state.hpp>
#include <caperpath/store/table.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Claims over the platform's table. The functions block; each may be called
/// from any thread.
namespace caperpath::request
{

/// What claims reach the outside through. A struct of functions; all of them
/// may be called from any thread.
struct claim_store
{
    store::port platform;
    claim_options options;
    clock time{clock::monotonic()};
    clock wall{clock::wall()}; ///< comparable between VMs, for retention only
    std::function<void(duration)> pause;
    std::function<std::uint64_t()> random;
};

/// A claim in the table, ours until it is finished. Immutable value.
struct held_claim
{
    request_id request;
    claimant self;
    std::uint64_t version{}; ///< of the claim's row
    claim_row row;

    friend bool operator==(held_claim const&, held_claim const&) = default;
};

struct begun_claim
{
    claim_reply reply;
    std::optional<held_claim> held; ///< set with the verdict `run`
    /// Set when the store answered nothing to a claim of ours and the time was
    /// up: it may stand in the table, or appear there later, though nobody runs
    /// the request. Give it to `withdraw_claim` until that succeeds, or every
    /// repeat would wait for a runner that does not exist.
    std::optional<held_claim> doubtful;
};

/// Claims a request. The usual case costs one write and no read. Waits up to
/// `asked.wait` for a claim in progress elsewhere and for the store. Blocks.
begun_claim begin_claim(claim_store const& store, claim_request const& asked,
                        claimant const& self);

/// Tries once to write the end of a run; `pending` means: try again, as often
/// as needed, with the same arguments. `version` is set to the row's version
/// with `kept`. Blocks for the calls of the store.
claim_end finish_claim(claim_store const& store, held_claim const& held,
                       claim_finish const& finish, std::uint64_t& version);

/// Tries once to make sure that a doubtful claim does not stand. True once that
/// is so. Blocks for the calls of the store.
bool withdraw_claim(claim_store const& store, held_claim const& doubtful);

/// A row that its holder may delete after `keep_until`.
struct kept_claim
{
    request_id request;
    std::uint64_t version{};
    instant keep_until{}; ///< wall clock

    friend bool operator==(kept_claim const&, kept_claim const&) = default;
};

/// Deletes rows whose time is over, all in one write; rows that have changed
/// since stay. False when the store did not take it: try again. Blocks.
/// @pre at most 50 rows
bool delete_claims(claim_store const& store,
                   std::vector<kept_claim> const& expired);

} // namespace caperpath::request

#endif
