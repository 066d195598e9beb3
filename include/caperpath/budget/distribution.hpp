#ifndef CAPERPATH_BUDGET_DISTRIBUTION_HPP
#define CAPERPATH_BUDGET_DISTRIBUTION_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>

#include <cstdint>
#include <map>
#include <vector>

/// Where the tokens of one budget should lie in a large fleet, as the router
/// that looks after the budget (its coordinator) reckons it.
///
/// A router that is cut off serves from what it holds, so most of a budget is
/// spread before it is asked for; the rest stays in the budget row, for
/// routers that run out while they can ask. The figures are hints: a stale one
/// puts tokens in the wrong place, never too many.
namespace caperpath::budget
{

/// The requests of the last seconds, each counting less as time passes.
/// Immutable value.
struct request_count
{
    double requests{};
    instant at{};

    friend bool operator==(request_count const&,
                           request_count const&) = default;
};

/// The count at `now`. Thread safe.
double value_at(request_count const& count, instant now);

/// The count after one more request at `now`. Thread safe.
request_count counted(request_count const& count, instant now);

/// What the coordinator knows of one router.
struct router_stock
{
    token_count free{};
    token_count spent{};
    double requests{};     ///< for this budget, of late
    double all_requests{}; ///< for all budgets, of late

    friend bool operator==(router_stock const&, router_stock const&) = default;
};

/// All that the coordinator knows. Value type.
struct budget_stock
{
    token_count pool{};                    ///< free at the coordinator
    token_count ungranted{};               ///< in the budget row
    double mean_request{};                 ///< tokens
    std::map<vm_id, router_stock> routers; ///< without the coordinator
    router_stock own;                      ///< the coordinator as a router
};

/// Tokens to send to a router or, if negative, to ask back from it. Immutable
/// value.
struct token_move
{
    vm_id router;
    token_count tokens{};

    friend bool operator==(token_move const&, token_move const&) = default;
};

/// What the coordinator does now. Immutable value.
struct distribution
{
    std::vector<token_move> moves;
    token_count pool_target{}; ///< to hold, after the moves

    friend bool operator==(distribution const&, distribution const&) = default;
};

/// The part of a budget's next requests that comes to each router, the
/// coordinator under an empty name. Callers keep their connections, so a router
/// with much traffic of all budgets gets more of this one too; where its own
/// count says otherwise, by more than chance, that counts. Thread safe.
std::map<vm_id, double> expected_parts(budget_stock const& stock);

/// Thread safe.
distribution distribute(budget_stock const& stock);

/// The routers to ask for `wanted` tokens now, those with most first, so many
/// at most that a caller can wait for all. Thread safe.
std::vector<token_move> gather(budget_stock const& stock, token_count wanted);

/// The VMs that look after `budget`, in the order in which they are asked.
/// @pre `vms` holds each VM once. Thread safe.
std::vector<vm_id> coordinators(budget_id const& budget,
                                std::vector<vm_id> const& vms);

} // namespace caperpath::budget

#endif
