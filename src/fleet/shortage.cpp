#include "fleet/placement_checks.hpp"

#include <algorithm>
#include <optional>

/// Why no server can take a request.
namespace caperpath::fleet
{

bool fits_version(server const& target, placement_request const& item)
{
    return !item.version ||
           (!item.version->empty() && target.entry.version == *item.version);
}

bool may_begin_at(server const& target, placement_request const& item)
{
    return item.version || !item.needs_confirmed_version ||
           target.version_confirmed;
}

namespace
{

shortage_reason obstacle(server const& target, placement_request const& item,
                         instant now)
{
    if (!fits_version(target, item))
    {
        return shortage_reason::no_such_version;
    }
    if (!allows_region(item.regions, target.region))
    {
        return shortage_reason::outside_regions;
    }
    if (target.evacuated)
    {
        return shortage_reason::evacuated;
    }
    if (rest_left(target.notices, now) > duration{0})
    {
        return shortage_reason::resting;
    }
    return is_cold(target, now) && usable(target, now)
               ? shortage_reason::cold
               : shortage_reason::unavailable;
}

} // namespace

shortage find_shortage(server_table const& table, placement_request const& item,
                       instant now)
{
    std::optional<shortage> least;
    for (auto const& [id, target] : table.servers)
    {
        if (target.entry.service != item.service || is_draining(target, now))
        {
            continue;
        }
        auto const why = obstacle(target, item, now);
        shortage const found{
            why, why == shortage_reason::resting
                     ? rest_left(target.notices, now)
                     : std::max(duration{0}, target.cold_until - now)};
        if (!least || found.why > least->why ||
            (found.why == least->why && found.lasts < least->lasts))
        {
            least = found;
        }
    }
    return least.value_or(shortage{item.version
                                       ? shortage_reason::no_such_version
                                       : shortage_reason::unavailable});
}

} // namespace caperpath::fleet
