#include <caperpath/fleet/placement.hpp>
#include <caperpath/fleet/stream_version.hpp>
#include <caperpath/fleet/warm_up.hpp>

#include <algorithm>
#include <cmath>

namespace caperpath::fleet
{

namespace
{

/// Routers that may send to one cold server: several, so that the loss of one
/// does not leave the server without requests.
constexpr std::int64_t most_senders = 4;
/// Two sets of routers may be chosen by different views of the fleet.
constexpr std::int64_t views = 2;
constexpr duration second{1'000};

std::int64_t sends_in_last_second(cold_sends const& sends, instant now)
{
    return std::count_if(sends.sent.begin(), sends.sent.end(),
                         [now](instant at) { return now - at <= second; });
}

} // namespace

std::int64_t most_cold_sends(warm_up_limit const& limit,
                             warm_up_tolerance const& tolerance)
{
    return static_cast<std::int64_t>(
        std::floor(limit.per_second * tolerance.factor + tolerance.requests));
}

std::int64_t cold_send_share(backend_server_id const& server,
                             std::vector<std::string> const& routers,
                             std::string const& self, std::int64_t most)
{
    auto const for_one_view = most / views;
    auto const senders =
        std::min({most_senders, for_one_view, std::ssize(routers)});
    if (senders <= 0)
    {
        return 0;
    }
    auto const chosen = keepers_of(stable_hash(server.value), routers,
                                   static_cast<std::size_t>(senders));
    auto const is_chosen =
        std::find(chosen.begin(), chosen.end(), self) != chosen.end();
    return is_chosen ? for_one_view / senders : 0;
}

duration pause_of_hot_prompts(warm_up_limit const& limit,
                              warm_up_tolerance const& tolerance,
                              std::int64_t routers)
{
    auto const half = most_cold_sends(limit, tolerance) / 2;
    return limit.per_second > 0 && half > 0
               ? duration{second.ms * routers / half}
               : duration{0};
}

bool may_send_cold(cold_sends const& sends, instant now)
{
    return sends_in_last_second(sends, now) < sends.share;
}

cold_sends note_cold_send(cold_sends sends, instant now)
{
    std::erase_if(sends.sent, [now](instant at) { return now - at > second; });
    sends.sent.push_back(now);
    return sends;
}

} // namespace caperpath::fleet
