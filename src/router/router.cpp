#include "router/router.hpp"

#include "filters/context.hpp"
#include "http/exchange.hpp"
#include "http/server.hpp"
#include "http/worker_pool.hpp"
#include "router/http_routes.hpp"
#include "router/load_poller.hpp"
#include "router/platform_access.hpp"

#include <caperpath/controllers/backend_controller.hpp>
#include <caperpath/controllers/budget_controller.hpp>
#include <caperpath/controllers/claim_controller.hpp>
#include <caperpath/controllers/config_controller.hpp>
#include <caperpath/controllers/limit_controller.hpp>
#include <caperpath/observe/log.hpp>
#include <caperpath/store/http_port.hpp>

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <caf/atom.hpp>
#include <caf/exit_reason.hpp>
#include <caf/send.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <optional>
#include <thread>
#include <utility>

namespace caperpath::router
{

namespace
{

// The actors only update state in memory; more threads would not speed them up.
constexpr std::size_t actor_threads = 2;
constexpr duration connect_timeout{1'000};
constexpr duration settle_timeout{10'000};
constexpr std::size_t max_queued_spans = 65'536;
constexpr std::int64_t never = std::numeric_limits<std::int64_t>::max();

struct actor_config : caf::actor_system_config
{
    actor_config()
    {
        this->set("scheduler.max-threads", actor_threads);
        // Work stealing polls while idle; with actors that use timers this
        // often, its threads would never sleep.
        this->set("scheduler.policy", caf::atom("sharing"));
    }
};

} // namespace

struct router::components
{
    components(settings given, std::string incarnation, std::uint64_t seed)
        : given{std::move(given)},
          incarnation{std::move(incarnation)}, seed{seed}, ids{seed},
          system{this->config}, workers{this->given.max_connections * 2},
          connections{connect_timeout},
          server{{.max_threads = this->given.max_connections,
                  .max_body_bytes = this->given.max_body_bytes,
                  .read_timeout = this->given.read_timeout}}
    {
    }

    settings given;
    std::string incarnation;
    std::uint64_t seed;
    clock time{clock::monotonic()};
    observe::metrics metrics;
    observe::id_generator ids;
    std::atomic<std::int64_t> stop_at{never};
    std::atomic<bool> stopping{false};
    std::atomic<bool> disconnected{false};
    actor_config config;
    caf::actor_system system;
    http::worker_pool workers;
    http::connection_pool connections;
    filters::request_dependencies shared;
    http::server server;
    caf::actor budgets;
    caf::actor backends;
    std::optional<controllers::claim_controller> claims;
    std::optional<controllers::config_controller> configuration;
    std::optional<load_poller> poller;

    bool ready() const
    {
        return !this->stopping.load() && this->configuration &&
               this->configuration->ready() && this->poller->view_ready();
    }

    std::string health();
    void connect(std::string const& address);
};

std::string router::components::health()
{
    auto const budgets =
        controllers::report_budgets(this->system, this->budgets);
    auto const configuration = this->configuration->status();
    nlohmann::json shares = nlohmann::json::object();
    for (auto const& budget : budgets.budgets)
    {
        shares[budget.budget.value] = {
            {"paid", budget.paid},           {"granted", budget.granted},
            {"free", budget.free},           {"reserved", budget.reserved},
            {"unsettled", budget.unsettled}, {"store_down", budget.store_down}};
    }
    return nlohmann::json{{"vm", this->given.vm},
                          {"incarnation", this->incarnation},
                          {"failure_domain", this->given.failure_domain.value},
                          {"config_version", configuration.version},
                          {"ready", this->ready()},
                          {"stopping", this->stopping.load()},
                          {"unsettled_bills", budgets.unsettled_bills},
                          {"shares", std::move(shares)}}
        .dump();
}

void router::components::connect(std::string const& address)
{
    auto const platform = counted(
        disconnectable(store::make_http_port({.address = this->given.platform}),
                       this->disconnected),
        this->metrics);
    budget::settle_options settle;
    settle.durable_interval = this->given.settle_interval;
    settle.deferred_interval = this->given.deferred_settle_interval;
    this->budgets = controllers::spawn_budget_controller(
        this->system,
        controllers::budget_options_builder{{this->incarnation}, platform}
            .with_address(address)
            .with_failure_domain(this->given.failure_domain)
            .with_settle(settle)
            .with_sweep(this->given.recovery_interval, this->given.vm_list_lag)
            .build());
    this->backends = controllers::spawn_backend_controller(
        this->system, {this->time, this->seed, this->given.failure_domain});
    this->configuration.emplace(
        this->system, platform,
        controllers::config_controller_options{
            this->given.config_poll, this->seed, {this->incarnation}});
    auto const current = this->configuration->port().current;
    this->shared.vm = this->given.vm;
    this->shared.incarnation = this->incarnation;
    this->shared.time = this->time;
    this->shared.configuration = current;
    this->shared.budgets =
        controllers::make_budget_port(this->system, this->budgets);
    controllers::claim_controller_options claim_options;
    claim_options.incarnation = {this->incarnation};
    claim_options.platform = platform;
    claim_options.time = this->time;
    claim_options.seed = this->seed;
    this->claims.emplace(this->system, claim_options);
    this->shared.claims = this->claims->port();
    this->shared.limits =
        controllers::make_limit_port(this->system, this->time);
    this->shared.backends =
        controllers::make_backend_port(this->system, this->backends);
    this->shared.workers = &this->workers;
    this->shared.connections = &this->connections;
    this->shared.metrics = &this->metrics;
    this->shared.ids = &this->ids;
    this->shared.stop_at = &this->stop_at;
    this->poller.emplace(this->backends, current, this->time,
                         this->given.load_poll);
}

router::router(settings given, std::string incarnation, std::uint64_t seed)
    : owned{std::make_unique<components>(std::move(given),
                                         std::move(incarnation), seed)}
{
}

router::~router() = default;

result<int> router::start()
{
    auto& parts = *this->owned;
    parts.shared.spans = observe::make_null_sink();
    if (!parts.given.spans_file.empty())
    {
        BOOST_LEAF_ASSIGN(
            parts.shared.spans,
            observe::make_file_sink(parts.given.spans_file, max_queued_spans));
    }
    int const port = parts.server.bind(parts.given.listen);
    if (port < 0)
    {
        return fail({error_kind::unavailable, "bind", parts.given.listen,
                     "the address cannot be bound"});
    }
    auto const host = http::parse_endpoint(parts.given.listen).host;
    parts.connect(host + ":" + std::to_string(port));
    register_routes(parts.server, parts.shared,
                    {[&parts] { return parts.ready(); },
                     [&parts]
                     {
                         return parts.health();
                     }});
    parts.server.serve();
    return port;
}

bool router::drain_commanded() const
{
    return this->owned->configuration->drain_commanded();
}

void router::disconnect()
{
    this->owned->disconnected = true;
    this->owned->stop_at = 0;
}

stop_report router::stop()
{
    auto& parts = *this->owned;
    auto const bound = parts.disconnected.load() ? duration{0} : settle_timeout;
    observe::log_info({"stop", {}, {}}, "planned stop: no longer ready");
    parts.stopping = true;
    std::this_thread::sleep_for(
        std::chrono::milliseconds{parts.given.balancer_lag.ms});
    if (!parts.disconnected.load())
    {
        parts.stop_at = (parts.time.now() + parts.given.drain_bound).ms;
    }
    parts.server.finish();
    parts.poller.reset();
    parts.workers.shutdown();
    // Before the holder row is closed, because no claim can be finished after.
    auto const unfinished = parts.claims->stop(bound);
    auto const remaining =
        controllers::stop_budgets(parts.system, parts.budgets, bound);
    parts.configuration.reset();
    caf::anon_send_exit(parts.backends, caf::exit_reason::user_shutdown);
    parts.shared.spans.flush();
    auto const with_shares = std::count_if(
        remaining.budgets.begin(), remaining.budgets.end(),
        [](auto const& budget) { return budget.granted > budget.settled; });
    auto const unfinished_claims =
        unfinished.open + unfinished.pending + unfinished.uncertain;
    return {static_cast<std::int64_t>(remaining.unsettled_bills), with_shares,
            static_cast<std::int64_t>(unfinished_claims),
            remaining.clean && unfinished_claims == 0};
}

} // namespace caperpath::router
