#include <caperpath/base/stall_detector.hpp>

namespace caperpath
{

transfer_watch watch_transfer(duration longest_stall, instant now)
{
    return {longest_stall, now, 0};
}

transfer_watch arrived(transfer_watch of, std::size_t bytes, instant now)
{
    of.since_bytes += bytes;
    if (of.since_bytes >= least_progress)
    {
        of.since = now;
        of.since_bytes = 0;
    }
    return of;
}

instant stalled_at(transfer_watch const& of)
{
    return of.since + of.longest_stall;
}

} // namespace caperpath
