#include "observe/command_line.hpp"
#include "stand_in/run_until_signal.hpp"
#include "stand_in/service.hpp"

#include <nlohmann/json.hpp>

using namespace caperpath;

int main(int argc, char** argv)
{
    observe::program const self{
        "caperpath-service",
        "A program that emulates a plain service, with a fault interface."};
    return observe::run_program<stand_in::service_settings>(
        self, argc, argv, &stand_in::parse_service_settings,
        [](stand_in::service_settings const& settings)
        {
            stand_in::hold_signals();
            stand_in::service service{settings, clock::monotonic()};
            return stand_in::run_until_signal({settings.listen,
                                               [&] { return service.start(); },
                                               [&]
                                               {
                                                   service.stop();
                                               }});
        });
}
