#include "soak/soak_site.hpp"

#include <cstddef>
#include <vector>

namespace caperpath::soak
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds start_time{3'000};
/// Of the silences: of one server's path, of all servers' paths; the rest also
/// of the store's path.
constexpr int one_server_percent = 50;
constexpr int all_servers_percent = 35;

std::vector<server_link*> draw_paths(soak_site& site, std::size_t router,
                                     dice& draw)
{
    auto& links = site.links[router];
    auto const extent = draw.between(1, 100);
    auto const one = draw.between(0, static_cast<int>(links.size()) - 1);
    std::vector<server_link*> drawn;
    for (std::size_t i = 0; i < links.size(); ++i)
    {
        if (extent > one_server_percent || static_cast<int>(i) == one)
        {
            drawn.push_back(links[i].get());
        }
    }
    if (extent > one_server_percent + all_servers_percent)
    {
        drawn.push_back(site.store_links[router].get());
    }
    std::erase_if(drawn, [](auto const* each) { return each->is_cut(); });
    return drawn;
}

} // namespace

asio::awaitable<void> silence_paths(soak_site& site, int series)
{
    dice draw{site.options.seed * 1'000 + 510 +
              static_cast<std::uint64_t>(series)};
    co_await pause(site.loop.get_executor(), start_time);
    while (std::chrono::steady_clock::now() < site.end)
    {
        auto const router =
            static_cast<std::size_t>(draw.between(0, site.options.routers - 1));
        auto const drawn = draw_paths(site, router, draw);
        auto& silence = site.silences[router];
        silence.open += 1;
        site.record.count("silences of paths");
        for (auto* const each : drawn)
        {
            each->cut(link_fault::unreachable);
        }
        co_await pause(site.loop.get_executor(), draw.ms(2'000, 6'000));
        for (auto* const each : drawn)
        {
            each->restore();
        }
        silence.open -= 1;
        silence.ended_ms = site.record.now_ms();
        co_await pause(site.loop.get_executor(), draw.ms(0, 1'500));
    }
}

bool was_silent(soak_site const& site, int router, std::int64_t since_ms)
{
    auto const& silence = site.silences[static_cast<std::size_t>(router)];
    return silence.open > 0 || silence.ended_ms >= since_ms;
}

} // namespace caperpath::soak
