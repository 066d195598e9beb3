#ifndef CAPERPATH_SRC_CTL_VERBS_HPP
#define CAPERPATH_SRC_CTL_VERBS_HPP

#include "ctl/session.hpp"

#include <caperpath/config/document.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace CLI
{
class App;
}

namespace caperpath::ctl
{

/// Parses the command line, runs the verb and returns the exit code. Not thread
/// safe.
int run(session& run, int argc, char const* const* argv);

/// Each adds one group of verbs. @pre `app` and `run` outlive the parsing.
void add_customer(CLI::App& app, session& run);
void add_budget(CLI::App& app, session& run);
void add_policy(CLI::App& app, session& run);
void add_config(CLI::App& app, session& run);
void add_fleet(CLI::App& app, session& run);
void add_drain(CLI::App& app, session& run);
void add_engine(CLI::App& app, session& run);
void add_report(CLI::App& app, session& run);
void add_completion(CLI::App& app, session& run);

/// Adds a verb to a group: it connects to the platform, calls `act` and stores
/// the exit code in `run`.
CLI::App* add_verb(CLI::App& group, session& run, std::string const& name,
                   std::string const& help, std::function<int()> act);

/// As `add_verb`, with `--watch SECONDS`, which repeats the verb until it
/// fails.
CLI::App* add_watched_verb(CLI::App& group, session& run,
                           std::string const& name, std::string const& help,
                           std::function<int()> act);

/// As `add_verb`, for a verb that does not need the platform.
CLI::App* add_local_verb(CLI::App& group, session& run, std::string const& name,
                         std::string const& help, std::function<int()> act);

/// Loads the version in force, or an empty document if there is none. Blocks.
result<config::document> load_or_empty(store::port const& port);

/// As `load_or_empty`; prints the error and sets `run.code` if it fails.
std::optional<config::document> current_document(session& run);

/// The patch that a verb derives from the document it has read.
struct wanted_patch
{
    nlohmann::json patch;
    std::vector<config::fault> faults; ///< not empty: nothing is sent
};

/// Patches the version in force. Calls `make` again after a conflict with
/// another operator, so that the patch is derived from the version that is then
/// in force.
config::patch_result submit_current(
    session& run, std::string const& id,
    std::function<wanted_patch(config::document const&)> const& make);

/// As `submit_current`; prints the result and returns the exit code.
int patch_current(
    session& run, std::string const& id,
    std::function<wanted_patch(config::document const&)> const& make,
    nlohmann::json const& extra = nlohmann::json{});

} // namespace caperpath::ctl

#endif
