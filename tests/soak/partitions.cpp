#include "soak/soak_site.hpp"

#include <algorithm>
#include <sstream>

namespace caperpath::soak
{

namespace
{

/// Routers know each other this long after their start.
constexpr std::chrono::milliseconds start_time{10'000};
/// A partitioned router needs some time to notice.
constexpr std::int64_t notice_ms = 1'500;
constexpr std::chrono::milliseconds settling_time{4'000};
constexpr std::int64_t least_attempts = 40;
/// At least this many routers keep their paths, since one of them may restart.
constexpr std::ptrdiff_t least_whole = 2;

/// A cut of all paths of one router to the servers of some services.
struct partition
{
    std::size_t router{};
    std::vector<std::string> services;
    link_fault how{};
};

bool is_whole(std::map<std::string, path_state> const& paths)
{
    return std::all_of(paths.begin(), paths.end(),
                       [](auto const& each) { return each.second.cut_at < 0; });
}

std::vector<partition> draw_partitions(soak_site& site, dice& draw)
{
    constexpr link_fault all[] = {link_fault::refuse, link_fault::reset,
                                  link_fault::silent, link_fault::one_way};
    auto const how = all[draw.between(0, 3)];
    std::vector<std::string> services{"app", "llm"};
    if (draw.chance(30))
    {
        services.erase(services.begin() + draw.between(0, 1));
    }
    std::vector<partition> drawn;
    auto whole = std::count_if(site.paths.begin(), site.paths.end(), is_whole);
    for (std::size_t i = 0; i < site.paths.size(); ++i)
    {
        if (is_whole(site.paths[i]) && whole > least_whole && draw.chance(40))
        {
            drawn.push_back({i, services, how});
            whole -= 1;
        }
    }
    return drawn;
}

void set_paths(soak_site& site, partition const& of, bool cut)
{
    auto& links = site.links[of.router];
    for (std::size_t i = 0; i < links.size(); ++i)
    {
        std::string const service = i < soak_site::app_servers ? "app" : "llm";
        if (std::count(of.services.begin(), of.services.end(), service) == 0)
        {
            continue;
        }
        if (cut)
        {
            links[i]->cut(of.how);
        }
        else
        {
            links[i]->restore();
        }
        auto const now = site.record.now_ms();
        site.paths[of.router][service] = {cut ? now : -1, now};
    }
}

/// True if some router has had its paths all the time and does not stop, so
/// that it can relay.
bool has_relay(soak_site& site, std::string const& service,
               std::int64_t began_ms)
{
    for (std::size_t i = 0; i < site.paths.size(); ++i)
    {
        auto const& paths = site.paths[i][service];
        auto& router = *site.routers[i];
        if (paths.cut_at < 0 && paths.changed_at + notice_ms <= began_ms &&
            router.runs() && is_settled(site, router))
        {
            return true;
        }
    }
    return false;
}

std::string bucket_of(path_state const& paths, std::int64_t began_ms)
{
    if (paths.cut_at >= 0)
    {
        return paths.cut_at + notice_ms <= began_ms ? "partitioned" : "";
    }
    return paths.changed_at + notice_ms <= began_ms ? "connected" : "";
}

} // namespace

bool is_settled(soak_site const& site, router_process const& router)
{
    auto const now = std::chrono::steady_clock::now();
    auto const before_outage =
        router.started + settling_time < site.store.lost_at;
    auto const after_outage =
        site.store.is_reachable() &&
        now - std::max(router.started, site.store.back_at) > settling_time;
    return !router.stopping && (before_outage || after_outage);
}

asio::awaitable<void> partition_routers(soak_site& site, int series)
{
    dice draw{site.options.seed * 1'000 + 500 +
              static_cast<std::uint64_t>(series)};
    co_await pause(site.loop.get_executor(), start_time);
    while (std::chrono::steady_clock::now() < site.end)
    {
        auto const drawn = draw_partitions(site, draw);
        for (auto const& each : drawn)
        {
            set_paths(site, each, true);
        }
        co_await pause(site.loop.get_executor(), draw.ms(500, 6'000));
        for (auto const& each : drawn)
        {
            set_paths(site, each, false);
        }
        co_await pause(site.loop.get_executor(), draw.ms(0, 2'500));
    }
}

void count_first_attempt(soak_site& site, int router,
                         std::string const& service, std::int64_t began_ms,
                         bool served)
{
    if (!site.options.partitions || !is_settled(site, *site.routers[router]) ||
        !has_relay(site, service, began_ms))
    {
        return;
    }
    auto const bucket = bucket_of(
        site.paths[static_cast<std::size_t>(router)][service], began_ms);
    if (!bucket.empty())
    {
        site.record.count(bucket + (served ? " served" : " not served"));
    }
}

void check_partitioned_routers(soak_site& site)
{
    auto const served = site.record.counted("partitioned served");
    auto const failed = site.record.counted("partitioned not served");
    auto const others = site.record.counted("connected served");
    auto const others_failed = site.record.counted("connected not served");
    if (!site.options.partitions || served + failed < least_attempts)
    {
        return;
    }
    // Both served as often, but for chance.
    auto const expected_failures =
        others_failed * (served + failed) / std::max<std::int64_t>(1, others);
    constexpr std::int64_t chance_allowance = 10;
    constexpr std::int64_t attempts_per_failure = 50;
    if (failed > expected_failures + chance_allowance +
                     (served + failed) / attempts_per_failure)
    {
        std::ostringstream text;
        text << "  partitioned: " << served << " served, " << failed
             << " not; others: " << others << " served, " << others_failed
             << " not\n";
        site.record.report_violation(
            "a router without a path to its servers serves its callers",
            text.str());
    }
}

} // namespace caperpath::soak
