#include "soak/soak_site.hpp"

#include <csignal>
#include <sstream>

namespace caperpath::soak
{

namespace
{

constexpr int large = 2'800; ///< routes
constexpr std::chrono::milliseconds start_time{3'000};
/// Requests that have used up more of their time than this are not counted.
constexpr std::int64_t counted_percent = 70;
constexpr std::int64_t whole_percent = 100;

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

void check_stream(soak_site& site, std::string const& id,
                  request_outcome const& how, std::int64_t began_ms,
                  int timeout_ms)
{
    auto const complete = how.whole && (how.right || how.status != 200);
    auto const used = site.record.now_ms() - began_ms;
    auto const late = used * whole_percent >= timeout_ms * counted_percent;
    if (!site.options.configurations || complete || late || site.stopping())
    {
        return;
    }
    site.record.count("streams cut");
    site.record.note(id, "its stream ended early");
    site.record.report_violation(
        "a stream of a reliable server ends with its last event",
        site.record.history(id));
}

} // namespace caperpath::soak
