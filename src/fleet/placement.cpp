#include "fleet/placement_checks.hpp"

#include <caperpath/fleet/placement.hpp>

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace caperpath::fleet
{

namespace
{

/// A server may have evicted a prefix that was not used for this long.
constexpr duration prefix_retention{20'000};
/// Penalty for each rank in a prefix's order of servers. It must stay below the
/// cost of a second prefill of a small shared prefix, and above 0 so that
/// routers agree on the second choice.
constexpr double rank_penalty_ms = 0.4;
/// Beside the time to read the prompt again, what it costs to send a hot prompt
/// to the same server again too soon.
constexpr double hot_prompt_penalty_ms = 10.0;
/// Penalty of a server without a direct path, for the relay's round trips.
constexpr double relay_penalty_ms = 5.0;
constexpr double full_report_weight = 1.0;
constexpr std::int64_t percent_per_whole = 100;

/// Weight of a load report: 1 if new, falling to 0 at the age
/// `report_lifetime`.
double age_weight(server const& target, instant now)
{
    auto const age = now - target.reported_at;
    if (age >= report_lifetime)
    {
        return 0.0;
    }
    return full_report_weight - static_cast<double>(age.ms) /
                                    static_cast<double>(report_lifetime.ms);
}

/// Estimated open requests of all routers at the server: those of this router,
/// plus the excess in the server's latest load report, weighted by its age.
double open_requests(server const& target, instant now)
{
    auto const own = static_cast<double>(target.own.open);
    auto const seen =
        static_cast<double>(target.report.running + target.report.waiting);
    return own + age_weight(target, now) * std::max(0.0, seen - own);
}

std::int64_t slots_of(server const& target, service const& of)
{
    return std::max<std::int64_t>(1, of.batch_slots > 0 ? of.batch_slots
                                                        : target.entry.slots);
}

double expected_engine_ms(server const& target, service const& of,
                          placement_request const& item, bool holds_prefix,
                          engine_speed const& speed, instant now)
{
    auto const open = open_requests(target, now);
    auto const own = static_cast<double>(target.own.open);
    auto const tokens = static_cast<double>(target.own.in_memory) +
                        (open - own) * speed.unknown_request_tokens;
    auto const unread =
        static_cast<double>(target.own.unread) +
        static_cast<double>(item.prompt_tokens -
                            (holds_prefix ? item.shared_tokens : 0));
    auto const step =
        speed.step_ms + tokens / 1'000 * speed.step_ms_per_1000_tokens;
    auto const tokens_needed =
        tokens + static_cast<double>(item.prompt_tokens + item.output_tokens);
    auto const slots = static_cast<double>(slots_of(target, of));
    auto const beyond_slots = std::max(0.0, open + 1 - slots);
    // An engine with full memory preempts a running request and prefills its
    // tokens again later, so the excess costs prefill time.
    auto const beyond_memory =
        of.memory_tokens > 0
            ? std::max(0.0,
                       tokens_needed - static_cast<double>(of.memory_tokens))
            : 0.0;
    return (unread + beyond_memory) / speed.prompt_tokens_per_ms +
           speed.steps_to_first_event * step +
           beyond_slots * speed.queued_request_ms;
}

double expected_plain_ms(server const& target, engine_speed const& speed,
                         instant now)
{
    auto const slots =
        static_cast<double>(std::max<std::int64_t>(1, target.entry.slots));
    auto const open = open_requests(target, now);
    auto const rounds = std::max(0.0, open + 1 - slots) / slots;
    // Servers slow down a little as they fill, so prefer the emptier of two
    // servers that both have free slots.
    return speed.plain_request_ms * (1.0 + rounds) + open / slots;
}

bool contains(std::vector<backend_server_id> const& all,
              backend_server_id const& id)
{
    return std::find(all.begin(), all.end(), id) != all.end();
}

/// A request that may not pass through other regions needs a direct path.
bool fits_residency(server const& target, placement_request const& item)
{
    return allows_region(item.regions, target.region) &&
           (item.may_be_relayed || !target.path.direct_failed);
}

struct candidate
{
    server const* target{};
    std::uint64_t order{};
};

std::vector<candidate> candidates(server_table const& table, service const& of,
                                  placement_request const& item,
                                  std::vector<backend_server_id> const& avoid,
                                  instant now)
{
    std::vector<candidate> found;
    for (auto const& [id, target] : table.servers)
    {
        if (target.entry.service != of.id || !usable(target, now) ||
            contains(avoid, id) || !fits_version(target, item) ||
            !may_begin_at(target, item) || !fits_residency(target, item))
        {
            continue;
        }
        auto const seed = item.shared_part;
        found.push_back(
            {&target, XXH64(id.value.data(), id.value.size(), seed)});
    }
    std::sort(found.begin(), found.end(),
              [](candidate const& a, candidate const& b)
              { return a.order > b.order; });
    return found;
}

std::int64_t percent_of_slots_taken(std::vector<candidate> const& all,
                                    service const& of, instant now)
{
    double taken = 0;
    double total_slots = 0;
    for (auto const& each : all)
    {
        total_slots += static_cast<double>(slots_of(*each.target, of));
        taken += open_requests(*each.target, now);
    }
    return total_slots > 0 ? static_cast<std::int64_t>(std::lround(
                                 taken * percent_per_whole / total_slots))
                           : 0;
}

} // namespace

prefix_history::prefix_history(std::size_t capacity) : capacity{capacity}
{
}

void prefix_history::note(backend_server_id const& server, std::uint64_t prefix,
                          instant now)
{
    if (prefix == 0)
    {
        return;
    }
    if (this->uses.size() >= this->capacity && !this->uses.contains(prefix))
    {
        std::erase_if(
            this->uses, [now](auto const& entry)
            { return now - entry.second.back().at > prefix_retention; });
        if (this->uses.size() >= this->capacity)
        {
            this->uses.erase(this->uses.begin());
        }
    }
    auto& all = this->uses[prefix];
    std::erase_if(all,
                  [&](last_use const& use) { return use.server == server; });
    all.push_back({server, now});
}

bool prefix_history::holds(backend_server_id const& server,
                           std::uint64_t prefix, instant now) const
{
    auto const found = this->uses.find(prefix);
    return found != this->uses.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [&](last_use const& use) {
                           return use.server == server &&
                                  now - use.at <= prefix_retention;
                       });
}

bool prefix_history::sent_since(backend_server_id const& server,
                                std::uint64_t prefix, instant since) const
{
    auto const found = this->uses.find(prefix);
    return found != this->uses.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [&](last_use const& use)
                       { return use.server == server && use.at > since; });
}

void prefix_history::forget(backend_server_id const& server)
{
    for (auto entry = this->uses.begin(); entry != this->uses.end();)
    {
        std::erase_if(entry->second, [&server](last_use const& use)
                      { return use.server == server; });
        entry =
            entry->second.empty() ? this->uses.erase(entry) : std::next(entry);
    }
}

double expected_ms(server const& target, service const& of,
                   placement_request const& item, bool holds_prefix,
                   engine_speed const& speed, instant now)
{
    auto const base =
        of.memory_tokens > 0
            ? expected_engine_ms(target, of, item, holds_prefix, speed, now)
            : expected_plain_ms(target, speed, now);
    // A server that is warming up is assumed to take twice as long. Where the
    // rate of requests to it is bounded, that bound keeps it as fast as others.
    auto const is_slow = now < target.cold_until && !target.bounded_while_cold;
    auto const warm_up_factor = is_slow ? 2.0 : 1.0;
    auto const wait = std::max(duration{0}, target.next_send - now);
    return base * std::max(1.0, target.slowness) * warm_up_factor +
           static_cast<double>(wait.ms);
}

namespace
{

/// Moves the cold servers that this router may still send to into a list of
/// their own, and removes the others.
std::vector<candidate> take_cold(std::vector<candidate>& all, instant now)
{
    std::vector<candidate> cold;
    for (auto const& each : all)
    {
        if (is_cold(*each.target, now) && !is_closed(*each.target, now))
        {
            cold.push_back(each);
        }
    }
    std::erase_if(all, [now](candidate const& each)
                  { return is_cold(*each.target, now); });
    return cold;
}

struct rated_placement
{
    placement where;
    server const* target{};
    double cost{};
};

/// How far a request avoids servers that got the same prompt from this router
/// recently. A server may have turned cold without this router's knowledge, and
/// a prompt that many callers send is the only load that exceeds the bound on a
/// single server.
struct prompt_spread
{
    duration pause{};    ///< until the prompt may go to the same server again
    double penalty_ms{}; ///< of one that got it since
    bool is_hot{false};  ///< its first server got it since
};

prompt_spread spread_of(server_table const& table,
                        std::vector<candidate> const& all, service const& of,
                        placement_request const& item,
                        prefix_history const& memory, engine_speed const& speed,
                        instant now)
{
    prompt_spread spread;
    if (item.shared_part == 0 || all.empty())
    {
        return spread;
    }
    spread.pause =
        pause_of_hot_prompts(of.warm_up, table.warm_up_bounds, table.routers);
    spread.penalty_ms =
        static_cast<double>(item.shared_tokens) / speed.prompt_tokens_per_ms +
        hot_prompt_penalty_ms;
    spread.is_hot = memory.sent_since(all.front().target->entry.id,
                                      item.shared_part, now - spread.pause);
    return spread;
}

/// The place of a candidate in the order of servers. For a hot prompt it is
/// another one at each router: with the same one, all routers would move on to
/// the next server at the same time.
std::size_t place_of(server_table const& table,
                     std::vector<candidate> const& all, std::size_t rank,
                     bool is_hot)
{
    auto const& order = all[rank].order;
    return is_hot ? XXH64(&order, sizeof order, table.router_salt) % all.size()
                  : rank;
}

std::optional<rated_placement>
best_of(server_table const& table, std::vector<candidate> const& all,
        service const& of, placement_request const& item,
        prefix_history const& memory, engine_speed const& speed, instant now)
{
    std::optional<rated_placement> best;
    auto const spread = spread_of(table, all, of, item, memory, speed, now);
    for (std::size_t rank = 0; rank < all.size(); ++rank)
    {
        auto const& target = *all[rank].target;
        auto const holds =
            item.shared_part != 0 &&
            (rank == 0 || memory.holds(target.entry.id, item.shared_part, now));
        auto const time = expected_ms(target, of, item, holds, speed, now);
        auto const relay_cost =
            target.path.direct_failed ? relay_penalty_ms : 0.0;
        auto const sent_lately =
            spread.is_hot &&
            memory.sent_since(target.entry.id, item.shared_part,
                              now - spread.pause);
        auto const place = place_of(table, all, rank, spread.is_hot);
        auto const cost = time + relay_cost +
                          rank_penalty_ms * static_cast<double>(place) +
                          (sent_lately ? spread.penalty_ms : 0.0);
        if (!best || cost < best->cost)
        {
            placement const where{
                target.entry.id,
                {static_cast<std::int64_t>(std::lround(time))},
                holds,
                0};
            best = rated_placement{where, &target, cost};
        }
    }
    return best;
}

bool has_room(server const& target, service const& of, instant now)
{
    return open_requests(target, now) + 1 <=
           static_cast<double>(slots_of(target, of));
}

} // namespace

std::optional<placement>
choose_placement(server_table const& table, service const& of,
                 placement_request const& item, prefix_history const& memory,
                 std::vector<backend_server_id> const& avoid,
                 engine_speed const& speed, instant now)
{
    auto warm = candidates(table, of, item, avoid, now);
    auto const cold = take_cold(warm, now);
    auto best = best_of(table, warm, of, item, memory, speed, now);
    if (!best || !has_room(*best->target, of, now))
    {
        auto const other = best_of(table, cold, of, item, memory, speed, now);
        best = !best || (other && other->cost < best->cost) ? other : best;
    }
    if (!best)
    {
        return std::nullopt;
    }
    best->where.fleet_percent = percent_of_slots_taken(warm, of, now);
    return best->where;
}

std::uint64_t stable_hash(std::string_view text)
{
    return XXH64(text.data(), text.size(), 0);
}

} // namespace caperpath::fleet
