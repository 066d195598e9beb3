#include <caperpath/budget/sizing.hpp>

#include <algorithm>
#include <cmath>

namespace caperpath::budget
{

namespace
{

constexpr double smoothing_ms = 10'000;
constexpr duration shortest_sample{500};
constexpr int warmup_samples = 20;
constexpr duration overspend_first_horizon{20'000};
constexpr duration false_refusals_first_horizon{60'000};
constexpr duration false_refusals_first_exposure{20'000};
constexpr std::int64_t first_pause_ms = 50;
constexpr std::int64_t longest_pause_ms = 2'000;
constexpr int max_doublings = 6;
constexpr std::int64_t first_conflict_ms = 8;
constexpr std::int64_t max_pause_while_waiting_ms = 200;
constexpr std::int64_t max_refill_pause_ms = 1'000;
constexpr std::size_t golden_ratio = 0x9E3779B97F4A7C15;
constexpr int mixing_shift = 32;
constexpr double two_to_32 = 4'294'967'296.0;

} // namespace

rate_meter metered(rate_meter meter, token_count tokens, instant now)
{
    auto const span = now - meter.since;
    if (meter.samples == 0 && meter.gathered == 0 && span >= shortest_sample)
    {
        // The time before the first traffic is not part of its rate. If
        // counted, it would keep the rate too low for the first ten seconds.
        meter.since = now;
    }
    else if (span >= shortest_sample)
    {
        auto const ms = static_cast<double>(span.ms);
        auto const sample = static_cast<double>(meter.gathered) * 1'000 / ms;
        meter.samples = std::min(meter.samples + 1, warmup_samples);
        // The first samples are averaged with equal weight. A router that has
        // just started would otherwise draw repeatedly while the rate climbs.
        auto const weight =
            std::max(1.0 / meter.samples, 1 - std::exp(-ms / smoothing_ms));
        meter.per_second += weight * (sample - meter.per_second);
        meter.gathered = 0;
        meter.since = now;
    }
    meter.gathered += tokens;
    return meter;
}

sizing sizing_for(config::budget_policy policy)
{
    sizing sizes;
    if (policy == config::budget_policy::overspend_first)
    {
        sizes.horizon = overspend_first_horizon;
        return sizes;
    }
    sizes.horizon = false_refusals_first_horizon;
    sizes.exposure = false_refusals_first_exposure;
    return sizes;
}

token_count ungranted(budget_row const& row)
{
    return std::max<token_count>(0, row.paid - row.granted);
}

bool near_end(budget_row const& row, sizing const& sizes)
{
    return row.wanted > 0 ||
           ungranted(row) <
               row.paid / std::max<std::int64_t>(1, sizes.near_end_divisor);
}

token_count fair_part(budget_row const& row, sizing const& sizes, bool newcomer)
{
    auto const holders =
        std::max<std::int64_t>(1, row.holders + (newcomer ? 1 : 0));
    return ungranted(row) / (sizes.fair_part_divisor * holders);
}

token_count draw_size(budget_row const& row, token_count need, token_count free,
                      token_count ahead, token_count max_ahead)
{
    auto const left = ungranted(row);
    if (need > left)
    {
        return 0;
    }
    // Another reservation waits for these tokens. Drawing them ahead of need
    // would cause the rejection of a request that fits.
    if (row.wanted > 0)
    {
        return need;
    }
    auto const idle = need > 0 ? 0 : free;
    auto const missing = std::max<token_count>(0, ahead - idle);
    auto const room = std::max<token_count>(0, max_ahead - need - idle);
    return std::min(left, need + std::min(missing, room));
}

duration backoff(int failures, std::size_t salt)
{
    auto const doublings = std::clamp(failures - 1, 0, max_doublings);
    auto const pause = std::min(longest_pause_ms, first_pause_ms << doublings);
    auto const part =
        jitter_fraction(salt + static_cast<std::size_t>(failures));
    // Between half of the pause and all of it.
    auto const half = pause / 2;
    return {half + static_cast<std::int64_t>(static_cast<double>(half) * part)};
}

double jitter_fraction(std::size_t salt)
{
    auto mixed = salt * golden_ratio;
    mixed ^= mixed >> mixing_shift;
    mixed *= golden_ratio;
    return static_cast<double>(mixed >> mixing_shift) / two_to_32;
}

duration conflict_pause(int conflicts, bool reservation_waits, std::size_t salt)
{
    if (conflicts <= 1 && reservation_waits)
    {
        return {0};
    }
    auto const longest =
        reservation_waits ? max_pause_while_waiting_ms : max_refill_pause_ms;
    auto const doublings = std::clamp(conflicts, 0, max_doublings);
    auto const range = std::min(longest, first_conflict_ms << doublings);
    auto const part =
        jitter_fraction(salt + static_cast<std::size_t>(conflicts));
    return {static_cast<std::int64_t>(static_cast<double>(range) * part)};
}

} // namespace caperpath::budget
