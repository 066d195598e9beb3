#include <caperpath/fleet/probation_lease.hpp>

#include <algorithm>

namespace caperpath::fleet
{

namespace
{

void forget_expired(probation_leases& all, instant now)
{
    std::erase_if(all, [now](auto const& entry)
                  { return entry.second.until <= now; });
}

} // namespace

bool acquire_lease(probation_leases& all, std::string const& suspect,
                   std::uint64_t holder, instant now)
{
    auto const held = all.find(suspect);
    if (held != all.end() && held->second.until > now)
    {
        return false;
    }
    if (all.size() >= most_probation_leases)
    {
        forget_expired(all, now);
    }
    if (all.size() >= most_probation_leases)
    {
        return false;
    }
    all[suspect] = {holder, now + probation_lease_time};
    return true;
}

void release_lease(probation_leases& all, std::string const& suspect,
                   std::uint64_t holder, instant now, duration pause)
{
    auto const held = all.find(suspect);
    if (held == all.end() || held->second.holder != holder)
    {
        return;
    }
    if (pause <= duration{0})
    {
        all.erase(held);
        return;
    }
    held->second.until = std::min(held->second.until, now + pause);
}

} // namespace caperpath::fleet
