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

/// Parses the command line, runs the verb and gives the exit code. Not thread
/// safe.
int run(session& run, int argc, char const* const* argv);

/// Each adds one group of verbs. `app` and `run` outlive the parsing.
void add_customer(CLI::App& app, session& run);
void add_budget(CLI::App& app, session& run);
void add_policy(CLI::App& app, session& run);
void add_config(CLI::App& app, session& run);
void add_fleet(CLI::App& app, session& run);
void add_drain(CLI::App& app, session& run);
void add_engine(CLI::App& app, session& run);
void add_report(CLI::App& app, session& run);
void add_completion(CLI::App& app, session& run);

/// A verb of a group: connects to the platform, then calls `act` and keeps its
/// exit code.
CLI::App* add_verb(CLI::App& group, session& run, std::string const& name,
                   std::string const& help, std::function<int()> act);

/// As `add_verb`, with `--watch SECONDS`: repeats until the verb fails.
CLI::App* add_watched_verb(CLI::App& group, session& run,
                           std::string const& name, std::string const& help,
                           std::function<int()> act);

/// As `add_verb`, for a verb that does not need the platform.
CLI::App* add_local_verb(CLI::App& group, session& run, std::string const& name,
                         std::string const& help, std::function<int()> act);

/// The version in force, an empty document when there is none. Blocks.
result<config::document> load_or_empty(store::port const& port);

/// As `load_or_empty`; prints the error and sets `run.code` if it fails.
std::optional<config::document> current_document(session& run);

/// What a verb wants to change in a document that it has looked at.
struct wanted_patch
{
    nlohmann::json patch;
    std::vector<config::fault> faults; ///< not empty: nothing is sent
};

/// Patches whatever version is in force: `make` is asked again when another
/// operator was faster, so that it decides on what is then in force.
config::patch_result submit_current(
    session& run, std::string const& id,
    std::function<wanted_patch(config::document const&)> const& make);

/// As `submit_current`; prints the result and gives the exit code.
int patch_current(
    session& run, std::string const& id,
    std::function<wanted_patch(config::document const&)> const& make,
    nlohmann::json const& extra = nlohmann::json{});

} // namespace caperpath::ctl

#endif
