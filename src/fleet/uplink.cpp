#include <caperpath/fleet/uplink.hpp>

#include <algorithm>

namespace caperpath::fleet
{

namespace
{

constexpr duration window{500};

/// A single failed server can cause fewer.
constexpr std::int64_t min_silent = 8;

uplink in_current_window(uplink of, instant now)
{
    auto const age = now - of.window_began;
    if (age < window)
    {
        return of;
    }
    of.previous = age < window + window ? of.current : connect_results{};
    of.current = {};
    of.window_began = now;
    return of;
}

bool is_saturated(uplink const& of)
{
    auto const silent = of.current.silent + of.previous.silent;
    auto const answered = of.current.answered + of.previous.answered;
    return of.unconfirmed_for > max_configuration_age && silent >= min_silent &&
           silent > answered;
}

} // namespace

uplink note_configuration_confirmed(uplink of)
{
    of.unconfirmed_for = duration{0};
    return of;
}

uplink note_connect_result(uplink of, bool answered, instant now)
{
    of = in_current_window(of, now);
    (answered ? of.current.answered : of.current.silent) += 1;
    return of;
}

uplink advance_time(uplink of, instant now)
{
    of = in_current_window(of, now);
    of.unconfirmed_for =
        of.unconfirmed_for + std::min(now - of.updated_at, max_update_gap);
    of.updated_at = now;
    if (is_saturated(of))
    {
        of.shedding_until = now + shedding_time;
    }
    return of;
}

bool sheds_callers(uplink const& of, instant now)
{
    return now < of.shedding_until;
}

} // namespace caperpath::fleet
