#ifndef CAPERPATH_BUDGET_DISTRIBUTION_HPP
#define CAPERPATH_BUDGET_DISTRIBUTION_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>

#include <cstdint>
#include <map>
#include <vector>

/// How the tokens of one budget should be distributed over a large fleet,
/// computed by the router that manages the budget (its coordinator).
///
/// A disconnected router serves from what it holds, so most of a budget is
/// distributed before it is requested. The rest stays in the budget row, for
/// routers that run out while they can request tokens. The figures are hints: a
/// stale one puts tokens in the wrong place, but never creates any.
namespace caperpath::budget
{

/// A count of recent requests that decays exponentially with time.
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

/// What the coordinator knows about one router.
struct router_stock
{
    token_count free{};
    token_count spent{};
    double requests{};     ///< recent ones for this budget
    double all_requests{}; ///< recent ones for all budgets

    friend bool operator==(router_stock const&, router_stock const&) = default;
};

/// All that the coordinator knows about one budget. Value type.
struct budget_stock
{
    token_count pool{};                    ///< free at the coordinator
    token_count ungranted{};               ///< in the budget row
    double mean_request{};                 ///< tokens
    std::map<vm_id, router_stock> routers; ///< without the coordinator
    router_stock own;                      ///< the coordinator as a router
};

/// Tokens to send to a router or, if negative, to recall from it. Immutable
/// value.
struct token_move
{
    vm_id router;
    token_count tokens{};

    friend bool operator==(token_move const&, token_move const&) = default;
};

/// What the coordinator has to do now. Immutable value.
struct distribution
{
    std::vector<token_move> moves;
    token_count pool_target{}; ///< tokens to hold in the pool after the moves

    friend bool operator==(distribution const&, distribution const&) = default;
};

/// The expected fraction of a budget's next requests at each router, with the
/// coordinator under an empty name. Callers keep their connections, so a router
/// with more traffic of all budgets is expected to get more of this one too;
/// its own count of requests for this budget corrects that. Thread safe.
std::map<vm_id, double> expected_parts(budget_stock const& stock);

/// Plans the moves of tokens between the coordinator and the routers. Thread
/// safe.
distribution distribute(budget_stock const& stock);

/// The recalls that gather `wanted` tokens now, from the routers with the most
/// free tokens; few enough that a caller can wait for all. Thread safe.
std::vector<token_move> plan_recalls(budget_stock const& stock,
                                     token_count wanted);

/// The VMs that may coordinate `budget`, in the order in which they are asked.
/// @pre `vms` holds each VM once. Thread safe.
std::vector<vm_id> coordinators(budget_id const& budget,
                                std::vector<vm_id> const& vms);

} // namespace caperpath::budget

#endif
