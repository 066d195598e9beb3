#include "stand_in/run_until_signal.hpp"

#include <nlohmann/json.hpp>

#include <csignal>
#include <iostream>

namespace caperpath::stand_in
{

namespace
{

sigset_t stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void hold_signals()
{
    auto const signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int run_until_signal(program_parts const& parts)
{
    auto const port = parts.start();
    if (port < 0)
    {
        std::cerr << "cannot listen on " << parts.listen << '\n';
        return 1;
    }
    auto const host = http::parse_endpoint(parts.listen).host;
    nlohmann::json const line{{"listening", host + ":" + std::to_string(port)}};
    std::cout << line.dump() << std::endl;
    auto const signals = stop_signals();
    int received = 0;
    sigwait(&signals, &received);
    parts.stop();
    return 0;
}

} // namespace caperpath::stand_in
