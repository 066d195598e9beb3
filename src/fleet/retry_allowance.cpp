#include <caperpath/fleet/retry_allowance.hpp>

#include <algorithm>

namespace caperpath::fleet
{

namespace
{

/// One read and two retries; a failed read is retried after a heartbeat.
constexpr std::int64_t reads_per_view = 3;

/// How long other routers count a router after its row last changed: until its
/// lease has expired and its last retries are outside the window.
duration counted_for(duration window)
{
    return lease_time + window + clock_margin;
}

bool may_use_allowance(membership const& known,
                       retry_allowance_lease const& own, duration window,
                       std::int64_t sharers, instant now)
{
    if (!own.held_since || now - own.renewed_at > lease_time)
    {
        return false;
    }
    auto const lifetime = view_lifetime(sharers);
    if (known.read == call_times{} || now - known.read.sent > lifetime)
    {
        return false;
    }
    return now - *own.held_since > lifetime + window + clock_margin;
}

} // namespace

duration view_lifetime(std::int64_t sharers)
{
    return read_pause_per_member * sharers +
           heartbeat_interval * reads_per_view;
}

retry_allowance_lease renewed(retry_allowance_lease const& before,
                              call_times const& beat, duration window)
{
    auto const unbroken =
        before.held_since &&
        beat.received - before.renewed_at < lease_time + window;
    return {unbroken ? before.held_since : beat.received, beat.sent};
}

std::int64_t retry_allowance_sharers(membership const& known,
                                     retry_allowance_lease const& own,
                                     incarnation_id const& self,
                                     duration window, instant now)
{
    auto const others = std::count_if(
        known.members.begin(), known.members.end(),
        [&](auto const& entry)
        {
            auto const unchanged = known.read.sent - entry.second.changed_at;
            return entry.first != self && unchanged <= counted_for(window);
        });
    auto const recently_removed =
        std::count_if(known.removed.begin(), known.removed.end(),
                      [&](auto const& entry) {
                          return entry.first != self &&
                                 now - entry.second <= window + clock_margin;
                      });
    auto const sharers = 1 + others + recently_removed;
    return may_use_allowance(known, own, window, sharers, now) ? sharers : 0;
}

} // namespace caperpath::fleet
