#include "soak/soak_site.hpp"

#include <csignal>
#include <sstream>
#include <utility>

namespace caperpath::soak
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int app_servers = soak_site::app_servers;
constexpr int engines = 2;
constexpr int more_engines = 12;
constexpr int engines_for_long_streams = 4;
constexpr int grace_s = 4;
constexpr milliseconds poll_interval{10};
/// Small enough to be used up during a soak.
constexpr std::int64_t small_budget = 60'000;
constexpr std::int64_t large_budget = 1'000'000'000;

std::string route(soak_options const& options, std::string const& prefix,
                  std::string const& kind, std::string const& service,
                  std::string const& more)
{
    return R"({"name":")" + prefix + R"(","hostname":"site.example",)" +
           R"("prefix":"/)" + prefix + R"(/","route-type":")" + kind +
           R"(","backend":")" + service + R"(","timeout-ms":)" +
           std::to_string(options.longest_time_ms) +
           R"(,"target-latency-ms":300,"priority":1)" + more + "}";
}

std::string customer(std::string const& name, std::int64_t paid)
{
    return R"({"name":")" + name + R"(","api-keys":["key-)" + name +
           R"("],"reserved":)" + std::to_string(paid) + "}";
}

/// Event that is injected while a router stops.
struct disturbance
{
    milliseconds after; ///< SIGTERM
    enum class kind
    {
        none,
        second_term,
        hang_up,
        configuration
    } what{kind::none};
};

disturbance draw_disturbance(dice& draw)
{
    using kind = disturbance::kind;
    constexpr kind all[] = {kind::none, kind::second_term, kind::hang_up,
                            kind::configuration};
    return {draw.ms(0, grace_s * 1'000), all[draw.between(0, 3)]};
}

milliseconds draw_uptime(soak_site const& site, dice& draw)
{
    if (site.options.configurations)
    {
        return std::chrono::duration_cast<milliseconds>(site.end -
                                                        steady_clock::now());
    }
    auto const early = draw.chance(15);
    return early ? draw.ms(0, 200)
                 : draw.ms(500, site.options.longest_uptime_ms);
}

void apply(soak_site& site, router_process& router, disturbance const& what)
{
    switch (what.what)
    {
    case disturbance::kind::none:
        break;
    case disturbance::kind::second_term:
        router.signal(SIGTERM);
        break;
    case disturbance::kind::hang_up:
        // Before its first connection its signal handler may not be installed.
        if (router.connections > 0)
        {
            router.signal(SIGHUP);
        }
        break;
    case disturbance::kind::configuration:
        site.put_configuration();
        break;
    }
}

int engines_of(soak_options const& options)
{
    if (options.configurations)
    {
        return engines_for_long_streams;
    }
    return options.fatal_parts || options.herds ? more_engines : engines;
}

soak_server& draw_server(soak_site& site, dice& draw)
{
    auto const last = static_cast<int>(site.servers.size()) - 1;
    return site.servers[static_cast<std::size_t>(draw.between(0, last))];
}

void check_exit(soak_site& site, router_process const& router, int number,
                bool asked)
{
    auto const fault = router.exit_fault();
    if (!asked || !fault.empty())
    {
        site.record.report_violation(
            "a process exits cleanly, and only after SIGTERM",
            "  " + std::to_string(site.record.now_ms()) + " ms: router " +
                std::to_string(number) + " ended" +
                (asked ? ": " : " without SIGTERM: ") + fault + "\n");
    }
}

asio::awaitable<void> stop(soak_site& site, int number, disturbance disturbed)
{
    auto& router = *site.routers[number];
    auto const began = steady_clock::now();
    router.signal(SIGTERM);
    while (router.runs())
    {
        auto const since = steady_clock::now() - began;
        // Checks again, since this process itself may have been delayed.
        if (since >= std::chrono::seconds{grace_s} && router.runs())
        {
            router.signal(SIGKILL);
            site.record.report_violation(
                "a stopped process exits before its grace "
                "time ends",
                "  router " + std::to_string(number) + "\n");
            co_return;
        }
        if (since >= disturbed.after)
        {
            apply(site, router, std::exchange(disturbed, {}));
        }
        co_await pause(site.loop.get_executor(), poll_interval);
    }
    site.record.count("stops");
    check_exit(site, router, number, true);
}

} // namespace

soak_site::soak_site(soak_options const& options)
    : options{options}, record{[this]
                               {
                                   // Cut streams are counted to the end.
                                   if (!this->options.configurations)
                                   {
                                       this->loop.stop();
                                   }
                               }},
      store{this->loop}, end{steady_clock::now() + options.time}
{
    auto const count = app_servers + engines_of(options);
    this->server_ids.resize(static_cast<std::size_t>(count));
    this->notices.servers.resize(this->server_ids.size());
    for (std::size_t i = 0; i < this->server_ids.size(); ++i)
    {
        this->servers.emplace_back(this->loop, this->record);
        this->servers.back().on_fatal_part = [this, i]
        {
            crash_server(*this, i);
        };
        this->servers.back().reliable = options.configurations;
        if (options.notices)
        {
            this->servers.back().on_request =
                [this, i](soak_server::request const& got, std::int64_t waited)
            {
                return respond_to(*this, i, got, waited);
            };
        }
        this->list_server(i);
    }
    this->silences.resize(static_cast<std::size_t>(options.routers));
    this->record.was_held = [this](int router, std::int64_t since_ms)
    {
        return was_silent(*this, router, since_ms);
    };
    this->record.pay("small", small_budget);
    this->record.pay("large", large_budget);
    this->put_configuration();
    for (int i = 0; i < options.routers; ++i)
    {
        auto const has_links = options.partitions || options.configurations ||
                               options.link_bytes_per_ms > 0;
        auto const store =
            has_links ? this->add_links() : this->store.address();
        this->routers.push_back(std::make_unique<router_process>(
            this->loop,
            router_plan{options.gateway, options.folder, store, i, grace_s}));
    }
    this->series_left = options.routers;
    this->callers_left = options.callers;
}

void soak_site::list_server(std::size_t number)
{
    auto& id = this->server_ids[number];
    if (!id.empty())
    {
        this->store.remove("servers", id);
    }
    id = "i-" + std::to_string(this->starts++);
    std::string const service = number < app_servers ? "app" : "llm";
    this->store.put("servers", id,
                    R"({"backend":")" + service + R"(","address":")" +
                        this->servers[number].address() +
                        R"(","zone":"z","batch-slots":16,)"
                        R"("state":"healthy"})");
}

std::string const& soak_site::server_id(std::size_t number) const
{
    return this->server_ids[number];
}

std::string soak_site::add_links()
{
    auto const rate = this->options.link_bytes_per_ms;
    auto const bandwidth =
        rate > 0
            ? std::make_shared<link_bandwidth>(link_bandwidth{rate, {}, {}})
            : nullptr;
    auto& links = this->links.emplace_back();
    std::map<std::string, std::string> addresses;
    for (auto const& server : this->servers)
    {
        links.push_back(std::make_unique<server_link>(
            this->loop, server.address(), bandwidth));
        addresses[server.address()] = links.back()->address();
    }
    this->paths.emplace_back();
    auto view = this->store.add_view(addresses);
    if (!bandwidth && !this->options.configurations)
    {
        return view;
    }
    this->store_links.push_back(
        std::make_unique<server_link>(this->loop, view, bandwidth));
    return this->store_links.back()->address();
}

void soak_site::put_configuration()
{
    this->configuration += 1;
    std::ostringstream text;
    text << R"({"version":)" << this->configuration << R"(,"route-table":[)"
         << route(this->options, "order", "non_idempotent", "app",
                  R"(,"attempts":1)")
         << ","
         << route(this->options, "read", "idempotent", "app",
                  R"(,"attempts":2)")
         << ","
         << route(this->options, "chat", "streaming", "llm",
                  R"(,"attempts":1,"session-affinity":true)")
         << ","
         << route(this->options, "resume", "streaming", "llm",
                  R"(,"attempts":2,"session-affinity":true,)"
                  R"("stream-resume":true)")
         << more_routes(this->extra_routes)
         << R"(],"backends":[{"name":"app"},{"name":"llm","engine-type":)"
         << R"({"batch-slots":16,"kv-capacity":444000,"stride":1}}],)"
         << R"("limits":{"max-body-bytes":40000},"tenants":[)"
         << customer("small", small_budget) << ","
         << customer("large", large_budget)
         << more_customers(this->extra_routes) << "]}";
    this->store.put("op", "config", text.str());
}

bool soak_site::over() const
{
    return this->series_left == 0;
}

asio::awaitable<void> restart_repeatedly(soak_site& site, int number)
{
    dice draw{site.options.seed * 1'000 + static_cast<std::uint64_t>(number)};
    auto& router = *site.routers[number];
    router.start();
    // The first stops are staggered.
    constexpr milliseconds gap{700};
    co_await pause(site.loop.get_executor(),
                   milliseconds{2'000} + number * gap);
    while (true)
    {
        co_await pause(site.loop.get_executor(), draw_uptime(site, draw));
        while (router.killed)
        {
            co_await pause(site.loop.get_executor(), poll_interval);
        }
        if (!router.runs())
        {
            check_exit(site, router, number, false);
            co_return;
        }
        if (draw.chance(20))
        {
            site.put_configuration();
        }
        co_await stop(site, number, draw_disturbance(draw));
        if (steady_clock::now() >= site.end)
        {
            break;
        }
        co_await pause(site.loop.get_executor(), draw.ms(0, 600));
        router.start();
    }
    site.series_left -= 1;
}

asio::awaitable<void> restart_servers(soak_site& site)
{
    dice draw{site.options.seed * 1'000 + 998};
    while (!site.over())
    {
        auto& killed = draw_server(site, draw);
        co_await pause(site.loop.get_executor(), draw.ms(1'000, 4'000));
        killed.kill();
        co_await pause(site.loop.get_executor(), draw.ms(100, 1'500));
        killed.start();
        site.record.count("restarts of servers");
    }
}

asio::awaitable<void> interrupt_store(soak_site& site)
{
    dice draw{site.options.seed * 1'000 + 999};
    while (!site.over())
    {
        co_await pause(site.loop.get_executor(), draw.ms(3'000, 8'000));
        site.store.set_reachable(false);
        co_await pause(site.loop.get_executor(), draw.ms(500, 4'000));
        site.store.set_reachable(true);
    }
}

} // namespace caperpath::soak
