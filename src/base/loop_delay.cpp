#include <caperpath/base/loop_delay.hpp>

#include <algorithm>

namespace caperpath
{

loop_delay start_loop_delay(duration interval, instant now)
{
    loop_delay result;
    result.interval = interval;
    result.due = now + interval;
    return result;
}

loop_delay note_timer_run(loop_delay of, instant now)
{
    of.late[of.next] = std::max(duration{0}, now - of.due);
    of.waited = of.late[of.next];
    of.ran = now;
    of.next = (of.next + 1) % lasting_runs;
    of.due = now + of.interval;
    return of;
}

loop_delay note_turn(loop_delay of, instant now)
{
    of.waited = std::min(of.waited, now - of.ran);
    return of;
}

duration longest_wait(loop_delay const& of, instant now)
{
    return std::max(of.waited, now - of.due);
}

duration unread_time(unread_input const& input, duration longest)
{
    auto const in_kernel = input.since_packet.value_or(longest);
    return std::max({input.since_read, in_kernel,
                     input.may_be_several_packets ? longest : duration{0}});
}

duration lasting_delay(loop_delay const& of)
{
    return *std::min_element(of.late.begin(), of.late.end());
}

duration longest_recent_delay(loop_delay const& of)
{
    return *std::max_element(of.late.begin(), of.late.end());
}

} // namespace caperpath
