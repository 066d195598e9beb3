#include <caperpath/fleet/placement.hpp>
#include <caperpath/fleet/send_limit.hpp>
#include <caperpath/fleet/stream_version.hpp>

#include <algorithm>
#include <cmath>

namespace caperpath::fleet
{

namespace
{

constexpr double ms_per_second = 1'000.0;
/// Lower bound of a limit; smaller ones are raised to it.
constexpr double least_per_second = 0.01;

double interval_ms(double per_second)
{
    return ms_per_second / std::max(per_second, least_per_second);
}

} // namespace

named_limit newer_limit(named_limit const& a, named_limit const& b)
{
    return a.heard_at < b.heard_at ? b : a;
}

send_schedule start_send_schedule(named_limit const& limit, instant now)
{
    auto const interval =
        limit.per_second > 0 ? interval_ms(limit.per_second) : 0.0;
    return {limit, static_cast<double>(now.ms) + interval};
}

send_schedule update_limit(send_schedule of, named_limit const& limit,
                           instant now)
{
    auto const before = of.limit.per_second;
    of.limit = newer_limit(of.limit, limit);
    if (before <= 0 && of.limit.per_second > 0)
    {
        return start_send_schedule(of.limit, now);
    }
    return of;
}

granted_send grant_send(send_schedule of, instant now, duration longest,
                        double part)
{
    if (of.limit.per_second <= 0)
    {
        return {of, {true, duration{0}}};
    }
    auto const at = std::max(of.next_ms, static_cast<double>(now.ms));
    duration const wait{
        static_cast<std::int64_t>(std::ceil(at - static_cast<double>(now.ms)))};
    if (wait > longest)
    {
        return {of, {false, wait}};
    }
    of.next_ms = at + interval_ms(of.limit.per_second * part);
    return {of, {true, wait}};
}

duration send_interval(double per_second)
{
    return {static_cast<std::int64_t>(std::ceil(interval_ms(per_second)))};
}

std::vector<std::string> granters_of(backend_server_id const& server,
                                     std::vector<std::string> const& routers)
{
    return keepers_of(stable_hash(server.value), routers, most_granters);
}

double part_to_grant(std::optional<std::size_t> own_place,
                     std::size_t asked_place, bool settling)
{
    constexpr double half = 0.5;
    if (!own_place)
    {
        return 0.0;
    }
    return *own_place == 0 && asked_place == 0 && !settling ? 1.0 : half;
}

} // namespace caperpath::fleet
