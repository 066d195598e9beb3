#ifndef CAPERPATH_BUDGET_HOLDINGS_HPP
#define CAPERPATH_BUDGET_HOLDINGS_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/budget/rows.hpp>

#include <cstdint>
#include <map>

/// Which router should hold how much of one budget, reckoned by each router
/// from what all of them tell of themselves.
///
/// Tokens that lie in the store serve nobody while the store is away, and
/// tokens in a share do. So all that is left of a budget is dealt out, to each
/// router in proportion to what it needs ahead. The figures are hints: a stale
/// one makes a share too large or too small, never a budget overspent, since
/// tokens move by transactions alone.
namespace caperpath::budget
{

/// What one router tells of one budget. Immutable value.
struct holding
{
    token_count granted{}; ///< its share
    token_count spent{};   ///< of it, for good
    token_count open{};    ///< of it, reserved by requests that run
    token_count need{};    ///< what it would like to have free

    friend bool operator==(holding const&, holding const&) = default;
};

/// What the routers told last, and when that was heard.
struct heard_holding
{
    holding last;
    instant at{};

    friend bool operator==(heard_holding const&,
                           heard_holding const&) = default;
};

/// All that is known of the holders of one budget. By VM: the router that comes
/// after a dead one tells what that one spent as its own. Value type.
using holdings = std::map<vm_id, heard_holding>;

/// A router that was not heard of for so long is not dealt to: six intervals
/// between the rows of small fleets, and two of the longest ones.
inline constexpr duration holding_lifetime{3'000};

/// What follows for one router. Immutable value.
struct deal
{
    token_count target{}; ///< tokens to hold free
    /// Some other router has less than half of its part, and nothing is left in
    /// the budget row for it.
    bool others_short{false};
    token_count spent_by_all{}; ///< by those that were heard of

    friend bool operator==(deal const&, deal const&) = default;
};

/// What a router needs free: the traffic of `ahead`, twice the deviation that
/// requests of the size `request` bring to it, and one such request. A router
/// that gets a request of 10,000 tokens in two seconds needs 40,000 tokens for
/// 8 s in the mean and 125,000 to refuse none of them in 40 outages. Thread
/// safe. @pre `per_second` is at least 0.
token_count need_ahead(double per_second, duration ahead, token_count request);

/// The deal for the router at `self`, which has `own` now, by the budget row.
/// Of `routers` that may be alive, those that were not heard of lately are
/// taken to need as much as the others in the mean. Thread safe.
deal deal_for(holdings const& known, vm_id const& self, holding const& own,
              budget_row const& row, std::int64_t routers, instant now);

/// True when `self` has to return tokens for a holder that wants `wanted`: the
/// others that have more to spare do not cover it. Were all to answer a wish,
/// their writes of one row would refuse each other. Thread safe.
bool must_return(holdings const& known, vm_id const& self, token_count spare,
                 token_count wanted, instant now);

} // namespace caperpath::budget

#endif
