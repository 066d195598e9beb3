#ifndef CAPERPATH_SRC_OBSERVE_COMMAND_LINE_HPP
#define CAPERPATH_SRC_OBSERVE_COMMAND_LINE_HPP

#include <caperpath/config/json_reader.hpp>

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace caperpath::observe
{

/// Exit code for an invalid command line or invalid settings.
constexpr int exit_bad_settings = 2;

/// Program name and purpose for `--help` and `--version`. Immutable value.
struct program
{
    std::string name;    ///< for example "caperpath-router"
    std::string purpose; ///< one sentence

    friend bool operator==(program const&, program const&) = default;
};

/// Reads settings from a complete JSON document; adds every fault it finds.
template <class Settings>
using settings_reader =
    std::function<Settings(nlohmann::json const&, std::vector<config::fault>&)>;

/// Handles `--help --version --settings FILE --check`. Returns the exit code,
/// or nothing if `check` found no fault and the program should run. Writes
/// faults to stderr, one `path: detail` per line. Call it before any other
/// thread is started.
std::optional<int> read_command_line(
    program const& self, int argc, char const* const* argv,
    std::function<void(nlohmann::json const&,
                       std::vector<config::fault>&)> const& check);

/// Implements `main`: reads the command line and the settings, then calls `run`
/// with the settings and returns its exit code. If `read_command_line` returns
/// an exit code, returns that instead.
template <class Settings, class Run>
int run_program(program const& self, int argc, char const* const* argv,
                settings_reader<Settings> const& read, Run run)
{
    std::optional<Settings> settings;
    auto const ended = read_command_line(
        self, argc, argv,
        [&](nlohmann::json const& value, std::vector<config::fault>& faults)
        { settings = read(value, faults); });
    if (ended)
    {
        return *ended;
    }
    return run(std::as_const(*settings));
}

} // namespace caperpath::observe

#endif
