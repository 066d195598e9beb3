#ifndef CAPERPATH_ROUTING_LIMITS_HPP
#define CAPERPATH_ROUTING_LIMITS_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>

#include <cstdint>

namespace caperpath::routing
{

/// One customer's limits at one router. Immutable value.
struct limits
{
    std::int64_t max_concurrent{};
    std::int64_t tokens_per_second{};

    friend bool operator==(limits const&, limits const&) = default;
};

/// One customer's usage at one router: open requests, and a token bucket that
/// holds one second of `tokens_per_second`. Immutable value.
struct limit_state
{
    std::int64_t open{0};
    std::int64_t bucket_milli{-1}; ///< thousandths of a token; -1: full
    instant refilled_at;

    friend bool operator==(limit_state const&, limit_state const&) = default;
};

enum class limit_verdict
{
    admitted,
    concurrency_exceeded,
    rate_exceeded
};

struct limit_decision
{
    limit_state state;
    limit_verdict verdict{limit_verdict::admitted};
    duration retry_after{};
};

/// Thread safe, pure. Admits or rejects a request that costs at most `tokens`.
/// A full bucket admits a request larger than itself and goes negative;
/// otherwise such a request could never be admitted.
limit_decision admit(limit_state const& state, limits const& bounds,
                     token_count tokens, instant now);

/// Thread safe, pure. Ends a request and returns `unused` tokens to the bucket.
/// @pre a matching `admit` returned `admitted`
limit_state release(limit_state const& state, limits const& bounds,
                    token_count unused);

} // namespace caperpath::routing

#endif
