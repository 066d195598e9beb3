#include "capacity/parts.hpp"
#include "capacity/probe.hpp"

#include <caperpath/controllers/backend_controller.hpp>

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <caf/send.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace caperpath::bench
{

namespace
{

constexpr std::size_t sizes[] = {20, 300, 2'100};
constexpr std::size_t rounds = 9;
constexpr std::size_t calls = 200;
constexpr double us_per_ns = 1e-3;

std::shared_ptr<config::document const> engines(std::size_t count)
{
    auto made = std::make_shared<config::document>();
    made->version = 1;
    for (std::size_t i = 0; i < count; ++i)
    {
        config::backend_server server;
        server.serves = "asistente";
        server.address = "10.0.0.1:" + std::to_string(10'000 + i);
        server.failure_domain = {"domain-" + std::to_string(i % 18)};
        made->backend_servers[{"engine-" + std::to_string(i)}] = server;
    }
    return made;
}

/// Uses wall time, because the actor's thread chooses while the caller waits.
double time_choice(routing::backend_port const& port)
{
    std::vector<double> times;
    for (std::size_t round = 0; round < rounds; ++round)
    {
        auto const start = std::chrono::steady_clock::now();
        for (std::size_t call = 0; call < calls; ++call)
        {
            auto const chosen = port.choose({config::backend_kind::engine,
                                             "asistente",
                                             "least_outstanding",
                                             {},
                                             1});
            port.report({chosen.id, routing::attempt_result::ok, {}});
        }
        std::chrono::duration<double, std::nano> const spent =
            std::chrono::steady_clock::now() - start;
        times.push_back(spent.count() * us_per_ns / calls);
    }
    return median(std::move(times));
}

void send_loads(caf::actor const& controller, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        controllers::send_load_report(
            controller,
            {{"engine-" + std::to_string(i)}, true, 8, 0, 64, {500}, false});
    }
}

} // namespace

void measure_engine_view(report& out)
{
    series memory{"engine view", "memory of the view", "engines", "bytes", {}};
    series choice{"engine view",
                  "one choice, asked and answered",
                  "engines",
                  "us of wall time",
                  {}};
    for (auto const count : sizes)
    {
        caf::actor_system_config config;
        caf::actor_system system{config};
        auto const controller = controllers::spawn_backend_controller(
            system, {clock::monotonic(), 1, {"domain-1"}});
        controllers::list_backends(system, controller);
        auto const document = engines(count);
        auto const before = allocated_bytes();
        controllers::send_configuration(controller, document);
        send_loads(controller, count);
        controllers::list_backends(system, controller);
        auto const size = static_cast<double>(count);
        memory.points.push_back({size, allocated_bytes() - before});
        auto const port = controllers::make_backend_port(system, controller);
        choice.points.push_back({size, time_choice(port)});
        caf::anon_send_exit(controller, caf::exit_reason::user_shutdown);
    }
    out.lines.push_back(std::move(memory));
    out.lines.push_back(std::move(choice));
}

} // namespace caperpath::bench
