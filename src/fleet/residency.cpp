#include <caperpath/fleet/residency.hpp>

#include <algorithm>

namespace caperpath::fleet
{

namespace
{

bool contains(std::vector<region_id> const& all, region_id const& region)
{
    return std::find(all.begin(), all.end(), region) != all.end();
}

} // namespace

residency residency_of(route const& from, customer const* payer)
{
    auto const by_customer = payer != nullptr && !payer->regions.empty();
    if (from.regions.empty())
    {
        return by_customer ? residency{payer->regions} : std::nullopt;
    }
    auto allowed = from.regions;
    if (by_customer)
    {
        std::erase_if(allowed, [payer](region_id const& region)
                      { return !contains(payer->regions, region); });
    }
    return allowed;
}

bool allows_region(residency const& allowed, region_id const& region)
{
    return !allowed || (!region.value.empty() && contains(*allowed, region));
}

bool may_relay(residency const& allowed, region_map const& regions,
               region_id const& region)
{
    return !allowed || (allows_region(allowed, region) &&
                        std::all_of(regions.begin(), regions.end(),
                                    [&region](auto const& entry)
                                    { return entry.second == region; }));
}

} // namespace caperpath::fleet
