#include <caperpath/fleet/server_notices.hpp>

#include <algorithm>

namespace caperpath::fleet
{

server_notices note_leaving(server_notices notices, bool leaves,
                            instant sent_at)
{
    if (leaves)
    {
        notices.leaving_at =
            std::max(notices.leaving_at.value_or(sent_at), sent_at);
    }
    else if (notices.leaving_at && sent_at > *notices.leaving_at)
    {
        notices.leaving_at.reset();
    }
    return notices;
}

server_notices note_rest(server_notices notices, duration rest, instant now)
{
    auto const bounded = std::clamp(rest, duration{0}, longest_rest);
    notices.rests_until = std::max(notices.rests_until, now + bounded);
    return notices;
}

duration rest_left(server_notices const& notices, instant now)
{
    return std::max(duration{0}, notices.rests_until - now);
}

} // namespace caperpath::fleet
