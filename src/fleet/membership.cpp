#include <caperpath/fleet/membership.hpp>
#include <caperpath/fleet/placement.hpp>

#include <algorithm>
#include <set>
#include <string_view>

namespace caperpath::fleet
{

namespace
{

/// After a restart of all n routers the store also has the rows of the n dead
/// ones. Without this bound, reads of a large fleet would be further apart than
/// `view_lifetime(n)`, and no router could use its part of the retry allowance.
constexpr duration longest_read_interval{20'000};

/// Half the time to the second read, which must show all routers that started
/// together.
constexpr std::uint64_t first_heartbeat_spread_ms = heartbeat_interval.ms / 2;

/// A removed router still counts for one retry window and a margin. The longest
/// window that the settings allow is as long as `row_lifetime`.
constexpr duration removed_retention = row_lifetime + heartbeat_interval;

duration silent_for(membership const& known, member const& row)
{
    return known.observed - row.observed_at;
}

bool is_alive(membership const& known, member const& row)
{
    return silent_for(known, row) <= member_lifetime;
}

template <class Condition>
std::vector<incarnation_id> select(membership const& known,
                                   Condition const& condition)
{
    std::vector<incarnation_id> all;
    for (auto const& [router, row] : known.members)
    {
        if (condition(row))
        {
            all.push_back(router);
        }
    }
    return all;
}

/// The observed time between the latest read and the one that ended at `now`.
duration observed_interval(membership const& known, instant now)
{
    if (known.read == call_times{})
    {
        return {};
    }
    auto const pause = now - known.read.received;
    auto const longest = read_interval(known) + heartbeat_interval;
    return pause <= longest ? pause : heartbeat_interval;
}

} // namespace

membership update_membership(membership known,
                             std::vector<heartbeat> const& rows,
                             call_times const& read)
{
    membership next;
    next.observed = known.observed + observed_interval(known, read.received);
    next.read = read;
    next.removed = std::move(known.removed);
    std::erase_if(next.removed, [&](auto const& entry)
                  { return read.received - entry.second > removed_retention; });
    for (auto const& row : rows)
    {
        auto const before = known.members.find(row.router);
        auto const unchanged = before != known.members.end() &&
                               before->second.version == row.version;
        next.members[row.router] = unchanged
                                       ? before->second
                                       : member{row.address, row.version,
                                                read.received, next.observed};
        next.removed.erase(row.router);
    }
    for (auto const& [router, unused] : known.members)
    {
        if (!next.members.contains(router))
        {
            next.removed.emplace(router, read.received);
        }
    }
    return next;
}

std::int64_t live_router_count(membership const& known)
{
    auto const count = std::count_if(known.members.begin(), known.members.end(),
                                     [&](auto const& entry)
                                     { return is_alive(known, entry.second); });
    return std::max<std::int64_t>(1, count);
}

std::int64_t alive_vms(membership const& known)
{
    std::set<std::string_view> addresses;
    for (auto const& [id, row] : known.members)
    {
        if (is_alive(known, row))
        {
            addresses.insert(row.address);
        }
    }
    return std::max<std::int64_t>(1, std::ssize(addresses));
}

duration first_heartbeat_after(incarnation_id const& self)
{
    auto const delay_ms = stable_hash(self.value) % first_heartbeat_spread_ms;
    return {static_cast<std::int64_t>(delay_ms)};
}

std::map<std::string, incarnation_id> live_routers(membership const& known)
{
    std::map<std::string, incarnation_id> live;
    for (auto const& [id, row] : known.members)
    {
        if (!is_alive(known, row))
        {
            continue;
        }
        auto const [found, added] = live.try_emplace(row.address, id);
        // In a store that numbers its commits, the row with the greater version
        // was written later.
        auto const listed_version = known.members.at(found->second).version;
        if (!added && row.version > listed_version)
        {
            found->second = id;
        }
    }
    return live;
}

std::vector<incarnation_id> dead_routers_to_remove(membership const& known,
                                                   incarnation_id const& self)
{
    auto all = select(known, [&](member const& row)
                      { return silent_for(known, row) > row_lifetime; });
    if (all.empty())
    {
        return all;
    }
    auto const live =
        select(known, [&](member const& row) { return is_alive(known, row); });
    std::erase_if(all,
                  [&](incarnation_id const& router)
                  {
                      auto next =
                          std::upper_bound(live.begin(), live.end(), router);
                      next = next == live.end() ? live.begin() : next;
                      return next == live.end() || *next != self;
                  });
    return all;
}

duration read_interval(membership const& known)
{
    auto const count = static_cast<std::int64_t>(known.members.size());
    return std::clamp(read_pause_per_member * count, heartbeat_interval,
                      longest_read_interval);
}

} // namespace caperpath::fleet
