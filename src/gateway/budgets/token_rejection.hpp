#ifndef CAPERPATH_SRC_GATEWAY_BUDGETS_TOKEN_REJECTION_HPP
#define CAPERPATH_SRC_GATEWAY_BUDGETS_TOKEN_REJECTION_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/budget/distribution.hpp>

namespace caperpath::gateway
{

/// Retry delay for callers that are rejected while other routers hold the
/// tokens.
inline constexpr duration retry_after_rejection{1'000};

/// Returns the free tokens of all routers but the coordinator. Thread safe.
inline token_count free_elsewhere(budget::budget_stock const& stock)
{
    token_count all = 0;
    for (auto const& [router, one] : stock.routers)
    {
        all += one.free;
    }
    return all;
}

} // namespace caperpath::gateway

#endif
