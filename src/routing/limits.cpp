#include <caperpath/routing/limits.hpp>

#include <algorithm>

namespace caperpath::routing
{

namespace
{

constexpr std::int64_t milli_per_token = 1'000;
constexpr duration concurrency_retry_after{1'000};
constexpr duration max_recovery{60'000};

limit_state refilled(limit_state state, limits const& bounds, instant now)
{
    auto const full = bounds.tokens_per_second * milli_per_token;
    if (state.bucket_milli == -1)
    {
        state.bucket_milli = full;
    }
    auto const elapsed = std::clamp<std::int64_t>((now - state.refilled_at).ms,
                                                  0, max_recovery.ms);
    auto const refill = elapsed * bounds.tokens_per_second;
    state.bucket_milli = std::min(full, state.bucket_milli + refill);
    state.refilled_at = now;
    return state;
}

} // namespace

limit_decision admit(limit_state const& state, limits const& bounds,
                     token_count tokens, instant now)
{
    auto next = refilled(state, bounds, now);
    if (next.open >= bounds.max_concurrent)
    {
        return {next, limit_verdict::concurrency_exceeded,
                concurrency_retry_after};
    }
    // The cap lets the bucket recover from any request within a minute.
    auto const max_milli = bounds.tokens_per_second * max_recovery.ms;
    auto const charge =
        tokens > max_milli / milli_per_token
            ? max_milli
            : std::max<token_count>(tokens, 0) * milli_per_token;
    auto const full = bounds.tokens_per_second * milli_per_token;
    auto const needed = std::min(charge, full);
    if (next.bucket_milli < needed)
    {
        auto const deficit = needed - next.bucket_milli;
        duration const wait{deficit / bounds.tokens_per_second + 1};
        return {next, limit_verdict::rate_exceeded, wait};
    }
    next.bucket_milli -= charge;
    ++next.open;
    return {next, limit_verdict::admitted, {}};
}

limit_state release(limit_state const& state, limits const& bounds,
                    token_count unused)
{
    auto next = state;
    next.open = std::max<std::int64_t>(next.open - 1, 0);
    auto const max_milli = bounds.tokens_per_second * max_recovery.ms;
    auto const returned =
        unused > max_milli / milli_per_token
            ? max_milli
            : std::max<token_count>(unused, 0) * milli_per_token;
    next.bucket_milli = std::min(bounds.tokens_per_second * milli_per_token,
                                 next.bucket_milli + returned);
    return next;
}

} // namespace caperpath::routing
