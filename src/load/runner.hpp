#ifndef CAPERPATH_SRC_LOAD_RUNNER_HPP
#define CAPERPATH_SRC_LOAD_RUNNER_HPP

#include "load/record.hpp"
#include "load/scenario.hpp"
#include "load/tally.hpp"

#include <functional>
#include <string>

namespace caperpath::load
{

/// Callbacks of a run, called by one thread at a time.
struct observer
{
    std::function<void(record const&)> ended;
    std::function<void(std::string const& line)> progress;
};

/// Sends all requests of `plan` and blocks until each has ended. `run` names
/// the run in keys and prompts. @pre `plan` is valid.
results run_scenario(scenario const& plan, std::string const& run,
                     observer const& watcher);

} // namespace caperpath::load

#endif
