#ifndef CAPERPATH_REQUEST_CLAIM_STORE_HPP
#define CAPERPATH_REQUEST_CLAIM_STORE_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/request/claim_state.hpp>
#include <caperpath/store/table.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Claims in the platform's table. All functions block and are thread safe.
namespace caperpath::request
{

/// The dependencies of the claim functions. All its functions are thread safe.
struct claim_store
{
    store::port platform;
    claim_options options;
    clock time{clock::monotonic()};
    clock wall{clock::wall()}; ///< comparable between VMs, for retention only
    std::function<void(duration)> pause;
    std::function<std::uint64_t()> random;
};

/// A claim in the table, owned by `self` until it is finished. Immutable value.
struct held_claim
{
    request_id request;
    claimant self;
    std::uint64_t version{}; ///< of the claim's row
    claim_row row;

    friend bool operator==(held_claim const&, held_claim const&) = default;
};

struct begin_result
{
    claim_reply reply;
    std::optional<held_claim> held; ///< set with the verdict `run`
    /// Set if the store did not confirm our claim before the timeout: the claim
    /// may be in the table or appear there later, but no one runs the request.
    /// Call `withdraw_claim` with it until that succeeds; otherwise every retry
    /// would wait for a runner that does not exist.
    std::optional<held_claim> uncertain;
};

/// Claims a request; usually takes one write and no read. Waits up to
/// `asked.wait` for a claim in progress elsewhere and for the store. Blocks.
begin_result begin_claim(claim_store const& store, claim_request const& asked,
                         claimant const& self);

/// Tries once to write the end of a run. If it returns `pending`, call it again
/// with the same arguments. If it returns `stored`, it sets `version` to the
/// row's version. Blocks for the store calls.
finish_result finish_claim(claim_store const& store, held_claim const& held,
                           claim_finish const& finish, std::uint64_t& version);

/// Tries once to withdraw a doubtful claim. Returns true if the claim cannot
/// block the request any more. Blocks for the store calls.
bool withdraw_claim(claim_store const& store, held_claim const& doubtful);

/// A row that its holder may delete after `keep_until`.
struct expiring_claim
{
    request_id request;
    std::uint64_t version{};
    instant keep_until{}; ///< wall clock

    friend bool operator==(expiring_claim const&,
                           expiring_claim const&) = default;
};

/// Deletes expired rows in one transaction; skips rows that have changed since.
/// Returns false if the store did not confirm it: call it again. Blocks.
/// @pre at most 50 rows
bool delete_claims(claim_store const& store,
                   std::vector<expiring_claim> const& expired);

} // namespace caperpath::request

#endif
