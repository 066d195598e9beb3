#include "observe/command_line.hpp"
#include "router/router.hpp"

#include <caperpath/observe/log.hpp>

#include <csignal>
#include <iostream>
#include <random>
#include <string>

namespace
{

using namespace caperpath;

constexpr int exit_failed = 1;

std::uint64_t random_u64()
{
    std::random_device device;
    constexpr int half = 32;
    return (std::uint64_t{device()} << half) | device();
}

// Blocks the signals in every thread that is started later, so that only `main`
// receives them, synchronously and never in a signal handler.
sigset_t block_stop_signals()
{
    sigset_t stop;
    sigemptyset(&stop);
    sigaddset(&stop, SIGTERM);
    sigaddset(&stop, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stop, nullptr);
    // A caller that closes its connection must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    return stop;
}

// Returns when a signal or an operator's drain command requests a planned stop.
void wait_for_stop(sigset_t const& stop, router::router const& instance)
{
    constexpr timespec check_interval{0, 200'000'000};
    while (sigtimedwait(&stop, nullptr, &check_interval) < 0)
    {
        if (instance.drain_commanded())
        {
            return;
        }
    }
}

int serve(router::settings const& settings)
{
    auto const stop = block_stop_signals();
    auto const seed = random_u64();
    auto const incarnation =
        settings.vm + "-" + std::to_string(random_u64() % 1'000'000'000);
    router::router instance{settings, incarnation, seed};
    auto const started = value_or_error([&] { return instance.start(); });
    if (auto const* fault = std::get_if<error>(&started))
    {
        std::cerr << to_string(*fault) << '\n';
        return exit_failed;
    }
    auto const colon = settings.listen.rfind(':');
    std::cout << R"({"listening":")" << settings.listen.substr(0, colon) << ':'
              << std::get<int>(started) << R"(","incarnation":")" << incarnation
              << "\"}" << std::endl;
    wait_for_stop(stop, instance);
    auto const remaining = instance.stop();
    if (!remaining.clean)
    {
        observe::log_warning({"stop", {}, {}},
                             "planned stop left unsettled_bills=" +
                                 std::to_string(remaining.unsettled_bills) +
                                 " budgets_with_shares=" +
                                 std::to_string(remaining.budgets_with_shares));
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    observe::start_log("caperpath-router");
    return observe::run_program<router::settings>(
        {"caperpath-router",
         "Routes callers' requests to backend servers within prepaid budgets."},
        argc, argv, router::read_settings, serve);
}
