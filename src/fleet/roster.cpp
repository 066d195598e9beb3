#include <caperpath/fleet/roster.hpp>

#include <algorithm>
#include <set>
#include <string_view>

namespace caperpath::fleet
{

namespace
{

constexpr std::int64_t read_ms_per_member = 50;

} // namespace

roster seen(roster known, std::vector<heartbeat> const& rows, instant now)
{
    roster next;
    for (auto const& row : rows)
    {
        auto const before = known.members.find(row.router);
        auto const unchanged = before != known.members.end() &&
                               before->second.version == row.version;
        auto const changed_at = unchanged ? before->second.changed_at : now;
        next.members[row.router] = {row.address, row.version, changed_at};
    }
    return next;
}

std::int64_t alive(roster const& known, instant now)
{
    auto const count = std::count_if(
        known.members.begin(), known.members.end(),
        [now](auto const& entry)
        { return now - entry.second.changed_at <= member_lifetime; });
    return std::max<std::int64_t>(1, count);
}

std::int64_t alive_vms(roster const& known, instant now)
{
    std::set<std::string_view> addresses;
    for (auto const& [id, one] : known.members)
    {
        if (now - one.changed_at <= member_lifetime)
        {
            addresses.insert(one.address);
        }
    }
    return std::max<std::int64_t>(1, std::ssize(addresses));
}

std::vector<incarnation_id> dead(roster const& known, instant now)
{
    std::vector<incarnation_id> all;
    for (auto const& [id, one] : known.members)
    {
        if (now - one.changed_at > row_lifetime)
        {
            all.push_back(id);
        }
    }
    return all;
}

duration read_interval(roster const& known)
{
    auto const count = static_cast<std::int64_t>(known.members.size());
    return {std::max(heartbeat_interval.ms, count * read_ms_per_member)};
}

} // namespace caperpath::fleet
