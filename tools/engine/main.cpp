#include "observe/command_line.hpp"
#include "stand_in/engine.hpp"
#include "stand_in/run_until_signal.hpp"

#include <nlohmann/json.hpp>

using namespace caperpath;

int main(int argc, char** argv)
{
    observe::program const self{
        "caperpath-engine",
        "A program that emulates a model engine, with a fault interface."};
    return observe::run_program<stand_in::engine_settings>(
        self, argc, argv, &stand_in::parse_engine_settings,
        [](stand_in::engine_settings const& settings)
        {
            stand_in::hold_signals();
            stand_in::engine engine{settings, clock::monotonic()};
            return stand_in::run_until_signal({settings.listen,
                                               [&] { return engine.start(); },
                                               [&]
                                               {
                                                   engine.stop();
                                               }});
        });
}
