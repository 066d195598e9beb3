#include "gateway/gateway.hpp"
#include "gateway/http_client.hpp"
#include "gateway/settings.hpp"
#include "observe/command_line.hpp"
#include "platform/protocol_adapter.hpp"
#include "platform/store_port.hpp"

#include <boost/asio/signal_set.hpp>

#include <chrono>
#include <csignal>
#include <iostream>
#include <memory>
#include <random>
#include <string>

#include <unistd.h>

namespace
{

using namespace caperpath;
namespace asio = boost::asio;

constexpr int exit_failed = 1;
/// Well above the response time of a slow store.
constexpr duration store_timeout{800};
constexpr std::chrono::milliseconds stop_check{50};

incarnation_id new_incarnation(std::string const& vm)
{
    std::random_device device;
    return {vm + "-" + std::to_string(device()) + std::to_string(device())};
}

/// Stops the loop once the planned stop has ended.
void end_when_stopped(asio::io_context& loop, asio::steady_timer& timer,
                      gateway::gateway_server const& serving)
{
    if (serving.stopped())
    {
        loop.stop();
        return;
    }
    timer.expires_after(stop_check);
    timer.async_wait(
        [&](boost::system::error_code fault)
        {
            if (!fault)
            {
                end_when_stopped(loop, timer, serving);
            }
        });
}

void wait_for_signals(asio::signal_set& signals, asio::io_context& loop,
                      asio::steady_timer& timer,
                      gateway::gateway_server& serving)
{
    signals.async_wait(
        [&](boost::system::error_code fault, int signal)
        {
            if (fault)
            {
                return;
            }
            wait_for_signals(signals, loop, timer, serving);
            if (signal == SIGHUP)
            {
                serving.reload();
                return;
            }
            end_when_stopped(loop, timer, serving);
            serving.stop();
        });
}

int serve(gateway::settings const& settings)
{
    // A write to a closed connection must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    constexpr int one_thread = 1;
    asio::io_context loop{one_thread};
    asio::signal_set signals{loop, SIGTERM, SIGINT, SIGHUP};
    asio::steady_timer timer{loop};
    auto const store = std::make_shared<gateway::http_client>(
        loop.get_executor(), settings.store_address);
    auto const background =
        std::make_shared<gateway::worker>(loop.get_executor());
    gateway::gateway_server serving{
        loop,
        settings,
        platform::make_protocol_adapter(),
        platform::make_store_port(store, settings.store_address, store_timeout,
                                  background),
        new_incarnation(settings.vm),
        STDOUT_FILENO,
        background};
    auto const started = boost::leaf::try_handle_all(
        [&]() -> result<bool>
        {
            BOOST_LEAF_CHECK(serving.start());
            return true;
        },
        [](error const& fault)
        {
            std::cerr << to_string(fault) << '\n';
            return false;
        },
        [] { return false; });
    if (!started)
    {
        return exit_failed;
    }
    wait_for_signals(signals, loop, timer, serving);
    serving.run([&loop] { loop.run(); });
    serving.close_connections();
    serving.flush_log();
    // Requests that are still open hold references to the gateway, and the loop
    // holds the requests, so neither can be destroyed first.
    std::quick_exit(0);
}

} // namespace

int main(int argc, char** argv)
{
    observe::program const self{
        "caperpath-gateway",
        "Serves callers from backend servers within prepaid budgets, on one "
        "event loop."};
    return observe::run_program<gateway::settings>(
        self, argc, argv, gateway::read_settings, serve);
}
