#include <caperpath/fleet/server_path.hpp>
#include <caperpath/fleet/server_table.hpp>

#include <algorithm>

namespace caperpath::fleet
{

namespace
{

/// Bounds the shift; the longest interval is reached after fewer doublings.
constexpr std::int64_t max_doublings = 4;

duration probe_interval(std::int64_t failed_probes)
{
    auto const doublings = std::min(failed_probes, max_doublings);
    return {std::min(longest_probe_interval.ms,
                     first_probe_interval.ms << doublings)};
}

service_reach with_server(service_reach reach, server_path const& path)
{
    reach.servers += 1;
    if (!path.direct_failed)
    {
        reach.direct += 1;
    }
    else if (!path.relay_failed)
    {
        reach.relayed += 1;
    }
    return reach;
}

} // namespace

std::string_view to_text(connect_outcome outcome)
{
    switch (outcome)
    {
    case connect_outcome::reached:
        return "reached";
    case connect_outcome::refused:
        return "refused";
    case connect_outcome::silent:
        break;
    }
    return "silent";
}

server_path note_direct(server_path path, connect_outcome outcome,
                        instant began, instant now)
{
    if (outcome == connect_outcome::reached)
    {
        server_path restored;
        restored.connected_at = now;
        restored.heard_at = path.heard_at;
        restored.unanswered_since = path.unanswered_since;
        restored.next_probe = path.next_probe;
        return restored;
    }
    if (path.connected_at >= began)
    {
        return path;
    }
    if (!path.direct_failed)
    {
        path.direct_failed = true;
        path.relay_failed = false;
        path.failed_probes = 0;
        path.unanswered_since = {};
    }
    path.direct_silent = outcome == connect_outcome::silent;
    path.next_probe = now + probe_interval(path.failed_probes);
    path.failed_probes += 1;
    return path;
}

server_path note_sent(server_path path, instant now)
{
    if (path.unanswered_since == instant{})
    {
        path.unanswered_since = now;
    }
    return path;
}

server_path note_heard(server_path path, instant now)
{
    path.unanswered_since = {};
    path.heard_at = now;
    return path;
}

server_path note_relay(server_path path, bool reached)
{
    path.relay_failed = !reached;
    return path;
}

bool is_reachable(server_path const& path)
{
    return !path.direct_failed || !path.relay_failed;
}

service_reach reach_of(server_table const& table, service_id const& service,
                       instant now)
{
    service_reach all;
    for (auto const& [id, target] : table.servers)
    {
        if (target.entry.service == service && !is_draining(target, now))
        {
            all = with_server(all, target.path);
        }
    }
    return all;
}

std::map<service_id, service_reach> reach_by_service(server_table const& table,
                                                     instant now)
{
    std::map<service_id, service_reach> all;
    for (auto const& [id, target] : table.servers)
    {
        if (!is_draining(target, now))
        {
            auto& reach = all[target.entry.service];
            reach = with_server(reach, target.path);
        }
    }
    return all;
}

bool is_cut_off(service_reach const& reach)
{
    return reach.servers > 0 && reach.direct == 0;
}

std::vector<backend_server_id> take_due_probes(server_table& table, instant now,
                                               std::size_t most)
{
    std::vector<server*> due;
    for (auto& [id, target] : table.servers)
    {
        if (target.path.direct_failed && now >= target.path.next_probe &&
            !is_draining(target, now))
        {
            due.push_back(&target);
        }
    }
    std::sort(due.begin(), due.end(),
              [](server const* a, server const* b)
              { return a->path.next_probe < b->path.next_probe; });
    due.resize(std::min(due.size(), most));
    std::vector<backend_server_id> ids;
    for (auto* const each : due)
    {
        // Until the result is known; it then sets the next one.
        each->path.next_probe = now + longest_probe_interval;
        ids.push_back(each->entry.id);
    }
    return ids;
}

std::vector<backend_server_id> take_suspects(server_table& table, instant now,
                                             std::size_t most)
{
    std::map<service_id, instant> heard;
    for (auto const& [id, target] : table.servers)
    {
        auto& latest = heard[target.entry.service];
        latest = std::max(latest, target.path.heard_at);
    }
    std::vector<backend_server_id> suspects;
    for (auto& [id, target] : table.servers)
    {
        auto& path = target.path;
        auto const waits = target.own.open > 0 &&
                           path.unanswered_since != instant{} &&
                           now - path.unanswered_since >= silence_to_probe;
        if (suspects.size() < most && waits && !path.direct_failed &&
            now >= path.next_probe &&
            now - heard[target.entry.service] >= silence_to_probe)
        {
            path.next_probe = now + longest_probe_interval;
            suspects.push_back(id);
        }
    }
    return suspects;
}

std::optional<backend_server_id> another_server(server_table const& table,
                                                backend_server_id const& except,
                                                service_id const& service,
                                                instant now)
{
    server const* best = nullptr;
    auto best_is_of_service = false;
    auto others_of_service = false;
    for (auto const& [id, target] : table.servers)
    {
        if (id == except || is_draining(target, now))
        {
            continue;
        }
        auto const of_service = target.entry.service == service;
        others_of_service = others_of_service || of_service;
        if (target.path.direct_failed)
        {
            continue;
        }
        auto const is_better =
            best == nullptr || (of_service && !best_is_of_service) ||
            (of_service == best_is_of_service &&
             target.path.connected_at > best->path.connected_at);
        if (is_better)
        {
            best = &target;
            best_is_of_service = of_service;
        }
    }
    if (best == nullptr || (others_of_service && !best_is_of_service))
    {
        return std::nullopt;
    }
    return best->entry.id;
}

} // namespace caperpath::fleet
