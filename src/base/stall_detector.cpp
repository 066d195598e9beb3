#include <caperpath/base/stall_detector.hpp>

namespace caperpath
{

stall_detector start_stall_detector(duration longest_stall, instant now)
{
    return {longest_stall, now, 0};
}

stall_detector arrived(stall_detector of, std::size_t bytes, instant now)
{
    of.since_bytes += bytes;
    if (of.since_bytes >= least_progress)
    {
        of.since = now;
        of.since_bytes = 0;
    }
    return of;
}

instant stall_deadline(stall_detector const& of)
{
    return of.since + of.longest_stall;
}

} // namespace caperpath
