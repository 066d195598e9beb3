#include <caperpath/budget/holdings.hpp>
#include <caperpath/budget/sizing.hpp>

#include <algorithm>
#include <cmath>

namespace caperpath::budget
{

namespace
{

constexpr double ms_per_second = 1'000;
/// Two standard deviations cover nearly all intervals.
constexpr double deviations = 2;
/// A router without traffic keeps this part of an even share: the first callers
/// of a failed neighbour arrive before the next allocation.
constexpr double least_part = 0.1;
constexpr double short_part = 0.5;
constexpr duration least_read_pause{300};
constexpr duration read_pause_per_router{45};
constexpr duration shortest_lifetime{3'000};
constexpr std::int64_t reads_in_lifetime = 3;

bool is_current(received_holding const& one, std::int64_t routers, instant now)
{
    return now - one.at <= holding_lifetime(routers);
}

token_count free_of(holding const& one)
{
    return std::max<token_count>(0, one.granted - one.spent - one.open);
}

/// Sums over the routers with a recent report.
struct sums
{
    std::int64_t routers{1};
    token_count free{};
    token_count spent{};
    double need{};
};

sums add_up(holdings const& known, vm_id const& self, holding const& own,
            std::int64_t routers, instant now)
{
    sums all{1, free_of(own), own.spent, static_cast<double>(own.need)};
    for (auto const& [router, one] : known)
    {
        if (router == self)
        {
            continue;
        }
        // A router without a recent report may have returned its share, and
        // its spending may be counted as retired.
        if (is_current(one, routers, now))
        {
            all.spent += one.last.spent;
            all.routers += 1;
            all.free += free_of(one.last);
            all.need += static_cast<double>(one.last.need);
        }
    }
    return all;
}

/// The fraction of the free tokens for a router with this need; at least
/// `least_part` of an even share.
double part_of(token_count need, sums const& all)
{
    auto const even = 1.0 / static_cast<double>(all.routers);
    if (all.need <= 0)
    {
        return even;
    }
    auto const by_need = static_cast<double>(need) / all.need;
    return least_part * even + (1 - least_part) * by_need;
}

} // namespace

duration holdings_read_pause(std::int64_t routers)
{
    return std::max(least_read_pause, read_pause_per_router * routers);
}

duration holding_lifetime(std::int64_t routers)
{
    return std::max(shortest_lifetime,
                    holdings_read_pause(routers) * reads_in_lifetime);
}

token_count need_ahead(double per_second, duration ahead, token_count request)
{
    auto const mean =
        per_second * static_cast<double>(ahead.ms) / ms_per_second;
    auto const deviation = std::sqrt(mean * static_cast<double>(request));
    return static_cast<token_count>(mean + deviations * deviation) + request;
}

allocation allocation_for(holdings const& known, vm_id const& self,
                          holding const& own, budget_row const& row,
                          std::int64_t routers, instant now)
{
    auto all = add_up(known, self, own, routers, now);
    // Otherwise the first router to start would allocate everything to itself.
    if (routers > all.routers)
    {
        all.need *=
            static_cast<double>(routers) / static_cast<double>(all.routers);
        all.routers = routers;
    }
    auto const left = ungranted(row);
    auto const to_allocate = static_cast<double>(all.free + left);
    allocation found;
    found.spent_by_all = all.spent;
    found.target =
        static_cast<token_count>(to_allocate * part_of(own.need, all));
    auto any_short = false;
    token_count lack = 0;
    for (auto const& [router, one] : known)
    {
        if (router == self || !is_current(one, routers, now))
        {
            continue;
        }
        auto const part = to_allocate * part_of(one.last.need, all);
        auto const has = free_of(one.last);
        any_short = any_short || static_cast<double>(has) < short_part * part;
        lack += std::max<token_count>(0, static_cast<token_count>(part) - has);
    }
    found.others_shortage =
        any_short ? std::max<token_count>(0, lack - left) : 0;
    return found;
}

bool must_return(holdings const& known, vm_id const& self, token_count spare,
                 token_count wanted, std::int64_t routers, instant now)
{
    token_count before = 0;
    for (auto const& [router, one] : known)
    {
        if (router == self || !is_current(one, routers, now))
        {
            continue;
        }
        auto const free = free_of(one.last);
        auto const comes_first =
            free > spare || (free == spare && router < self);
        before += comes_first ? free : 0;
    }
    return before < wanted;
}

} // namespace caperpath::budget
