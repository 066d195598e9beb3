#ifndef CAPERPATH_BUDGET_HOLDINGS_HPP
#define CAPERPATH_BUDGET_HOLDINGS_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/error.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/budget/rows.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

/// How much of one budget each router should hold. Each router computes this
/// from the reports of all routers.
///
/// Tokens in the store cannot be used while the store is unreachable, but
/// tokens in a share can. So all remaining tokens of a budget are allocated, to
/// each router in proportion to its expected need. The figures are hints: a
/// stale one makes a share too large or too small, but never overspends a
/// budget, since tokens move only by transactions.
namespace caperpath::budget
{

/// What one router reports about one budget. Immutable value.
struct holding
{
    token_count granted{}; ///< its share
    token_count spent{};   ///< part of `granted`, permanently spent
    token_count open{};    ///< part of `granted`, reserved by running requests
    token_count need{};    ///< tokens that it needs free

    friend bool operator==(holding const&, holding const&) = default;
};

/// Key of row `holding/<vm>`: a router's report to the others. It is a separate
/// row in cereal's binary format because every router reads the rows of all
/// routers, and would otherwise also parse their spend limits in JSON.
std::string holding_key(vm_id const& vm);

/// The VM of such a key; empty for any other key. Thread safe.
std::optional<vm_id> vm_of_holding_key(std::string const& key);

/// Encodes and decodes the bytes of a row. Decoding fails with `invalid` if
/// they are malformed. Thread safe.
std::string encode(std::map<budget_id, holding> const& reported);
result<std::map<budget_id, holding>> decode_holdings(std::string const& bytes);

/// A router's latest report, and when it was received.
struct received_holding
{
    holding last;
    instant at{};

    friend bool operator==(received_holding const&,
                           received_holding const&) = default;
};

/// The latest reports about one budget. By VM, since the successor of a dead
/// router reports its predecessor's spending as its own. Value type.
using holdings = std::map<vm_id, received_holding>;

/// The largest number of routers that allocate budgets by their reports. The
/// delay until a token request is read grows with their number while a caller
/// waits for a response, and the draws of many holders conflict.
inline constexpr std::int64_t max_allocating_routers = 15;

/// The pause between two reads of the routers' reports. It grows with their
/// number, since each reads the rows of all. Thread safe.
duration holdings_read_pause(std::int64_t routers);

/// A router without a report for this long gets no allocation. Thread safe.
duration holding_lifetime(std::int64_t routers);

/// The allocation of one router. Immutable value.
struct allocation
{
    token_count target{}; ///< tokens to hold free
    /// What others lack of their parts beyond the ungranted tokens; 0 unless
    /// one of them has less than half of its part.
    token_count others_shortage{};
    token_count
        spent_by_all{}; ///< by this router and those with a recent report

    friend bool operator==(allocation const&, allocation const&) = default;
};

/// What a router needs free: the traffic of `ahead`, plus twice its standard
/// deviation for requests of size `request`, plus one such request. With the
/// mean alone, a router with few large requests would reject some in most
/// outages. Thread safe. @pre `per_second` is at least 0.
token_count need_ahead(double per_second, duration ahead, token_count request);

/// The allocation for the router at `self`, which holds `own` now. `row` is the
/// budget row. `routers` counts those that may be alive; those without a recent
/// report are assumed to need the mean of the others. Thread safe.
allocation allocation_for(holdings const& known, vm_id const& self,
                          holding const& own, budget_row const& row,
                          std::int64_t routers, instant now);

/// True if `self` has to return tokens for holders that lack `wanted`, because
/// the holders with more spare tokens do not cover it. If all returned tokens
/// at once, their writes of the same row would conflict. Thread safe.
bool must_return(holdings const& known, vm_id const& self, token_count spare,
                 token_count wanted, std::int64_t routers, instant now);

} // namespace caperpath::budget

#endif
