#include "soak/soak_site.hpp"

#include <csignal>
#include <sstream>

namespace caperpath::soak
{

namespace
{

constexpr int large = 2'800; ///< routes
constexpr std::chrono::milliseconds start_time{3'000};
constexpr std::chrono::milliseconds poll_interval{10};
/// No router is killed so shortly before the last stop.
constexpr std::chrono::milliseconds longest_downtime{3'000};

} // namespace

std::string more_routes(int count)
{
    std::ostringstream text;
    for (int i = 0; i < count; ++i)
    {
        text << R"(,{"name":"more)" << i
             << R"(","hostname":"more.example","prefix":"/more)" << i
             << R"(/","route-type":"idempotent","attempts":2,"backend":"app",)"
             << R"("timeout-ms":8000,"target-latency-ms":300,"priority":1})";
    }
    return text.str();
}

std::string more_customers(int count)
{
    constexpr int routes_per_customer = 10;
    std::ostringstream text;
    for (int i = 0; i < count / routes_per_customer; ++i)
    {
        text << R"(,{"name":"more)" << i << R"(","api-keys":["key-more)" << i
             << R"(","other-more)" << i << R"("],"reserved":1000000})";
    }
    return text.str();
}

asio::awaitable<void> change_configurations(soak_site& site)
{
    dice draw{site.options.seed * 1'000 + 500};
    co_await pause(site.loop.get_executor(), start_time);
    while (std::chrono::steady_clock::now() < site.end)
    {
        site.extra_routes = draw.chance(70) ? large : draw.between(0, 200);
        for (auto left = draw.between(1, 6); left > 0; --left)
        {
            site.put_configuration();
            site.record.count("configurations");
            co_await pause(site.loop.get_executor(), draw.ms(30, 900));
        }
        if (draw.chance(30))
        {
            site.routers[static_cast<std::size_t>(
                             draw.between(0, site.options.routers - 1))]
                ->signal(SIGHUP);
        }
        co_await pause(site.loop.get_executor(), draw.ms(500, 3'000));
    }
}

asio::awaitable<void> kill_routers(soak_site& site)
{
    dice draw{site.options.seed * 1'000 + 520};
    auto const& executor = site.loop.get_executor();
    co_await pause(executor, start_time);
    while (true)
    {
        co_await pause(executor, draw.ms(1'000, 4'000));
        auto const before = site.configuration;
        while (site.configuration == before &&
               std::chrono::steady_clock::now() < site.end)
        {
            co_await pause(executor, poll_interval);
        }
        co_await pause(executor, draw.ms(0, 1'500));
        if (std::chrono::steady_clock::now() + longest_downtime >= site.end)
        {
            co_return;
        }
        auto const number = draw.between(0, site.options.routers - 1);
        auto& router = *site.routers[static_cast<std::size_t>(number)];
        if (!router.runs())
        {
            co_return; // its restart series reports the end
        }
        router.kill();
        site.last_kill_ms = site.record.now_ms();
        site.record.count("kills of routers");
        site.record.count("router " + std::to_string(number) + " killed at " +
                          std::to_string(site.last_kill_ms) + " ms");
        co_await pause(executor, draw.ms(50, 600));
        router.start();
    }
}

} // namespace caperpath::soak
