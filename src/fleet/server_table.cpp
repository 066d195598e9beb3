#include <caperpath/fleet/server_table.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace caperpath::fleet
{

namespace
{

constexpr double slowness_weight = 0.2; ///< of the newest measurement
constexpr double least_slowness =
    0.5; ///< limits the effect of one fast response
constexpr double greatest_slowness = 20.; ///< larger values make no difference
constexpr double shortest_expected_ms = 10.;
/// Bounds the shift. `longest_set_aside` is reached after fewer doublings.
constexpr int max_doublings = 4;

warm_up_limit warm_up_of(server_table const& table, server const& target)
{
    auto const found = table.warm_ups.find(target.entry.service);
    return found == table.warm_ups.end() ? warm_up_limit{} : found->second;
}

bool is_bounded(server_table const& table, server const& target)
{
    return warm_up_of(table, target).per_second > 0;
}

} // namespace

bool list_server(server_table& table, server_entry const& entry, instant now)
{
    auto const [found, added] = table.servers.try_emplace(entry.id);
    auto& target = found->second;
    // The same id with another start time, address or version is another
    // process; the failures and the cached prompts of the previous one do not
    // apply to it.
    auto const restarted = !added && (target.entry.born_ms != entry.born_ms ||
                                      target.entry.address != entry.address ||
                                      target.entry.version != entry.version);
    if (added || restarted)
    {
        auto const own = target.own;
        target = server{};
        target.own = own;
        target.listed_at = now;
    }
    target.entry = entry;
    auto const region = table.regions.find(entry.failure_domain);
    target.region =
        region == table.regions.end() ? region_id{} : region->second;
    target.evacuated = table.evacuated.contains(entry.failure_domain);
    target.bounded_while_cold = is_bounded(table, target);
    note_cold(target, entry.warm_up_left, now);
    target.gone_from.reset();
    return added || restarted;
}

void unlist_server(server_table& table, backend_server_id const& id,
                   instant now)
{
    auto const found = table.servers.find(id);
    if (found == table.servers.end())
    {
        return;
    }
    auto& target = found->second;
    if (!table.store_reachable)
    {
        // A live server may write its entry again.
        target.gone_from = target.gone_from.value_or(now + entry_return_time);
        return;
    }
    // Entries lost in an outage may return until `settled_at`. It counts from
    // the store's return and not from now: an entry that is removed shortly
    // before `settled_at` may be that of a draining server, which must get no
    // requests two seconds later.
    auto const settled_at =
        table.store_back_at ? *table.store_back_at + entry_return_time : now;
    target.entry.draining = target.entry.draining || now >= settled_at;
    target.gone_from = std::max(now, settled_at);
}

std::vector<backend_server_id>
replace_servers(server_table& table, std::vector<server_entry> const& entries,
                instant now)
{
    std::set<backend_server_id> listed;
    std::vector<backend_server_id> added;
    for (auto const& entry : entries)
    {
        listed.insert(entry.id);
        if (list_server(table, entry, now))
        {
            added.push_back(entry.id);
        }
    }
    for (auto const& [id, target] : table.servers)
    {
        if (!listed.contains(id))
        {
            unlist_server(table, id, now);
        }
    }
    return added;
}

void note_store(server_table& table, bool reachable, instant now)
{
    if (reachable && !table.store_reachable)
    {
        table.store_back_at = now;
    }
    table.store_reachable = reachable;
}

std::vector<backend_server_id> sweep_servers(server_table& table, instant now)
{
    std::vector<backend_server_id> gone;
    for (auto& [id, target] : table.servers)
    {
        auto const is_remembered =
            target.notices.leaving_at &&
            now - *target.notices.leaving_at < leaving_memory;
        if (is_draining(target, now) && target.gone_from &&
            target.own.open == 0 && !is_remembered)
        {
            gone.push_back(id);
        }
    }
    for (auto const& id : gone)
    {
        table.servers.erase(id);
    }
    return gone;
}

bool is_draining(server const& target, instant now)
{
    auto const gone = target.gone_from && now >= *target.gone_from;
    return target.entry.draining || gone || target.notices.leaving_at;
}

void set_evacuated(server_table& table, std::set<failure_domain_id> evacuated,
                   instant now)
{
    table.evacuated = std::move(evacuated);
    for (auto& [id, target] : table.servers)
    {
        auto const before = std::exchange(
            target.evacuated,
            table.evacuated.contains(target.entry.failure_domain));
        if (before && !target.evacuated)
        {
            note_cold(target, warm_up_of(table, target).lasts, now);
        }
    }
}

void set_warm_ups(server_table& table,
                  std::map<service_id, warm_up_limit> warm_ups)
{
    table.warm_ups = std::move(warm_ups);
    for (auto& [id, target] : table.servers)
    {
        target.bounded_while_cold = is_bounded(table, target);
    }
}

void note_cold(server& target, duration left, instant now)
{
    if (left > duration{0})
    {
        target.cold_until = std::max(target.cold_until, now + left);
    }
}

void note_possible_restart(server_table& table, backend_server_id const& id,
                           instant now)
{
    auto const found = table.servers.find(id);
    if (found != table.servers.end() && found->second.entry.born_ms != 0)
    {
        auto& target = found->second;
        note_cold(target, warm_up_of(table, target).lasts, now);
    }
}

bool is_cold(server const& target, instant now)
{
    return target.bounded_while_cold && now < target.cold_until;
}

void assign_cold_shares(server_table& table,
                        std::vector<std::string> const& routers,
                        std::string const& self, instant now)
{
    for (auto& [id, target] : table.servers)
    {
        if (is_cold(target, now))
        {
            auto const most = most_cold_sends(warm_up_of(table, target),
                                              table.warm_up_bounds);
            target.while_cold.share = cold_send_share(id, routers, self, most);
        }
    }
}

bool is_closed(server const& target, instant now)
{
    return is_draining(target, now) || target.evacuated ||
           rest_left(target.notices, now) > duration{0} ||
           (is_cold(target, now) && !may_send_cold(target.while_cold, now));
}

bool usable(server const& target, instant now)
{
    return !is_draining(target, now) && !target.evacuated &&
           now >= target.set_aside_until &&
           rest_left(target.notices, now) == duration{0} &&
           is_reachable(target.path);
}

void note_failure(server& target, bool decisive, instant now)
{
    target.failures += decisive ? failures_to_set_aside : 1;
    if (target.failures < failures_to_set_aside)
    {
        return;
    }
    auto const further_series = target.failures / failures_to_set_aside - 1;
    auto const doublings =
        std::clamp<std::int64_t>(further_series, 0, max_doublings);
    auto const exclusion_ms =
        std::min(longest_set_aside.ms, first_set_aside.ms << doublings);
    target.set_aside_until = now + duration{exclusion_ms};
}

void note_replaced(server& target, instant now)
{
    target.set_aside_until = now + replaced_set_aside;
}

void note_success(server& target, duration took, duration expected)
{
    target.failures = 0;
    auto const base =
        std::max(shortest_expected_ms, static_cast<double>(expected.ms));
    auto const measured = std::clamp(static_cast<double>(took.ms) / base,
                                     least_slowness, greatest_slowness);
    target.slowness += slowness_weight * (measured - target.slowness);
}

} // namespace caperpath::fleet
