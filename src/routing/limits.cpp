#include <caperpath/routing/limits.hpp>

#include <algorithm>

namespace caperpath::routing
{

namespace
{

constexpr std::int64_t milli = 1'000;
constexpr duration retry_when_full{1'000};
constexpr duration longest_retry{60'000};

limit_state refilled(limit_state state, limits const& bounds, instant now)
{
    auto const full = bounds.tokens_per_second * milli;
    if (state.bucket_milli == -1)
    {
        state.bucket_milli = full;
    }
    auto const passed = std::clamp<std::int64_t>((now - state.refilled_at).ms,
                                                 0, longest_retry.ms);
    auto const gained = passed * bounds.tokens_per_second;
    state.bucket_milli = std::min(full, state.bucket_milli + gained);
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
        return {next, limit_verdict::too_many_open, retry_when_full};
    }
    // Capped, so that the debt of one request is never paid for over a minute.
    auto const most = bounds.tokens_per_second * longest_retry.ms;
    auto const wanted =
        tokens > most / milli ? most : std::max<token_count>(tokens, 0) * milli;
    auto const full = bounds.tokens_per_second * milli;
    auto const needed = std::min(wanted, full);
    if (next.bucket_milli < needed)
    {
        auto const missing = needed - next.bucket_milli;
        duration const wait{missing / bounds.tokens_per_second + 1};
        return {next, limit_verdict::too_fast, wait};
    }
    next.bucket_milli -= wanted;
    ++next.open;
    return {next, limit_verdict::admitted, {}};
}

limit_state released(limit_state const& state, limits const& bounds,
                     token_count unused)
{
    auto next = state;
    next.open = std::max<std::int64_t>(next.open - 1, 0);
    auto const most = bounds.tokens_per_second * longest_retry.ms;
    auto const back =
        unused > most / milli ? most : std::max<token_count>(unused, 0) * milli;
    next.bucket_milli =
        std::min(bounds.tokens_per_second * milli, next.bucket_milli + back);
    return next;
}

} // namespace caperpath::routing
