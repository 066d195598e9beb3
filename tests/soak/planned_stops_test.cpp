#include "soak/soak_site.hpp"

#include <CLI/CLI.hpp>

#include <boost/asio/co_spawn.hpp>

#include <exception>
#include <iostream>

#include <unistd.h>

// Guards against requests that are lost, repeated or cut when routers stop and
// start in overlapping series while their callers stay.

namespace
{

using namespace caperpath::soak;
using std::chrono::milliseconds;

constexpr milliseconds tick{20};
constexpr milliseconds stall{100};

/// Notes when this process is not run in time, and ends the loop when all is
/// done.
asio::awaitable<void> watch(soak_site& site)
{
    auto last = std::chrono::steady_clock::now();
    while (!site.over() || site.callers_left > 0)
    {
        co_await pause(site.loop.get_executor(), tick);
        auto const now = std::chrono::steady_clock::now();
        if (now - last > tick + stall)
        {
            site.record.note_stall();
        }
        last = now;
    }
    site.loop.stop();
}

void run(soak_site& site)
{
    auto const spawn = [&site](asio::awaitable<void> task)
    {
        asio::co_spawn(site.loop, std::move(task),
                       [](std::exception_ptr const& thrown)
                       {
                           if (thrown)
                           {
                               std::rethrow_exception(thrown);
                           }
                       });
    };
    spawn(watch(site));
    spawn(lose_store(site));
    for (int i = 0; i < site.options.routers; ++i)
    {
        spawn(stop_again_and_again(site, i));
    }
    for (int i = 0; i < site.options.callers; ++i)
    {
        spawn(call_routers(site, i));
    }
    site.loop.run();
}

int soak(soak_options const& options)
{
    std::cout << "seed " << options.seed << ", routers " << options.routers
              << ", " << options.time.count() << " s" << std::endl;
    std::filesystem::create_directories(options.folder);
    soak_site site{options};
    run(site);
    site.record.check_reach();
    std::cout << site.record.summary();
    if (site.record.first_broken().empty())
    {
        if (!options.keep_logs)
        {
            std::filesystem::remove_all(options.folder);
        }
        std::cout << "all promises kept" << std::endl;
        return 0;
    }
    std::cout << "seed " << options.seed
              << " broke: " << site.record.first_broken()
              << "logs: " << options.folder.string() << std::endl;
    return 1;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Stops and starts router processes in overlapping series and "
                 "checks what their callers were promised."};
    soak_options options{20'261'203, {}, 4, 32, CAPERPATH_GATEWAY, {}, false};
    double minutes = 1;
    options.folder = std::filesystem::temp_directory_path() /
                     ("caperpath-soak-" + std::to_string(::getpid()));
    app.add_option("--seed", options.seed);
    app.add_option("--minutes", minutes, "how long, and one more stop")
        ->check(CLI::PositiveNumber);
    app.add_option("--routers", options.routers)->check(CLI::Range(1, 999));
    app.add_option("--callers", options.callers)->check(CLI::PositiveNumber);
    app.add_flag("--keep-logs", options.keep_logs,
                 "keep the routers' logs of a run that held, too");
    app.add_option("--gateway", options.gateway, "the routers' binary")
        ->check(CLI::ExistingFile);
    CLI11_PARSE(app, argc, argv);
    constexpr double seconds = 60;
    options.time =
        std::chrono::seconds{static_cast<std::int64_t>(minutes * seconds)};
    try
    {
        return soak(options);
    }
    catch (std::exception const& fault)
    {
        std::cerr << fault.what() << std::endl;
        return 2;
    }
}
