#include <caperpath/fleet/uplink.hpp>

#include <algorithm>

namespace caperpath::fleet
{

namespace
{

/// Connects are counted in the current and the previous window.
constexpr duration window{500};

/// Least silent connects in two windows. A single failed server causes fewer
/// than that.
constexpr std::int64_t min_silent = 8;

uplink in_current_window(uplink link, instant now)
{
    auto const age = now - link.window_began;
    if (age < window)
    {
        return link;
    }
    link.previous = age < window + window ? link.current : connect_results{};
    link.current = {};
    link.window_began = now;
    return link;
}

bool is_saturated(uplink const& link)
{
    auto const silent = link.current.silent + link.previous.silent;
    auto const answered = link.current.answered + link.previous.answered;
    return link.unconfirmed_for > max_configuration_age &&
           silent >= min_silent && silent > answered;
}

} // namespace

uplink note_configuration_confirmed(uplink link)
{
    link.unconfirmed_for = duration{0};
    return link;
}

uplink note_connect_result(uplink link, bool answered, instant now)
{
    link = in_current_window(link, now);
    (answered ? link.current.answered : link.current.silent) += 1;
    return link;
}

uplink advance_time(uplink link, instant now)
{
    link = in_current_window(link, now);
    link.unconfirmed_for =
        link.unconfirmed_for + std::min(now - link.updated_at, max_update_gap);
    link.updated_at = now;
    if (is_saturated(link))
    {
        link.shedding_until = now + shedding_time;
    }
    return link;
}

bool sheds_callers(uplink const& link, instant now)
{
    return now < link.shedding_until;
}

} // namespace caperpath::fleet
