#include "gateway/servers/server_choice.hpp"

#include "gateway/crashes/crash_handling.hpp"

#include <cstdint>
#include <vector>

namespace caperpath::gateway
{

namespace
{

constexpr duration cold_share_lifetime{1'000};
/// Routers that start together see each other's heartbeats only in the second
/// read.
constexpr std::uint64_t reads_to_know_routers = 2;

/// Renews this router's parts of the bounds on cold servers, at most once in
/// `cold_share_lifetime`.
void assign_cold_shares(core& shared)
{
    auto const now = shared.now.now();
    if (shared.membership.completed_reads() < reads_to_know_routers ||
        now - shared.cold_shares_at < cold_share_lifetime)
    {
        return;
    }
    shared.cold_shares_at = now;
    fleet::assign_cold_shares(shared.servers, shared.send_limits.routers(),
                              shared.peer_address, now);
}

std::optional<fleet::placement>
choose_among(exchange const& current,
             std::vector<backend_server_id> const& avoided)
{
    auto const& shared = current.shared;
    return fleet::choose_placement(shared.servers, *current.service,
                                   current.work, shared.prompts, avoided,
                                   shared.speed, shared.now.now());
}

} // namespace

std::optional<fleet::placement> choose_server(exchange& current)
{
    assign_cold_shares(current.shared);
    if (is_suspect(current))
    {
        if (auto exclusive = choose_among(current, servers_to_avoid(current)))
        {
            return exclusive;
        }
    }
    return choose_among(current, current.tried);
}

std::optional<fleet::placement>
find_other_server(exchange const& current, backend_server_id const& latest)
{
    auto tried = current.tried;
    tried.push_back(latest);
    return choose_among(current, tried);
}

bool lacks_servers(exchange const& current)
{
    return current.attempts.runs == 0 && !current.response_started &&
           !choose_among(current, {});
}

} // namespace caperpath::gateway
