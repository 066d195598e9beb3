#ifndef CAPERPATH_SRC_GATEWAY_TOKEN_REFUSAL_HPP
#define CAPERPATH_SRC_GATEWAY_TOKEN_REFUSAL_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/budget/distribution.hpp>

namespace caperpath::gateway
{

/// When to come back after a refusal for tokens that other routers hold.
inline constexpr duration retry_denied{1'000};

/// Free tokens of all routers but the coordinator. Thread safe.
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
