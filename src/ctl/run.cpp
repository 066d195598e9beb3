#include "ctl/verbs.hpp"

#include <CLI/CLI.hpp>

#include <memory>
#include <ostream>
#include <utility>
#include <variant>

namespace caperpath::ctl
{

namespace
{

constexpr int max_conflict_attempts = 50;
constexpr auto exit_code_help =
    "Exit codes: 0 ok, 1 failed, 2 usage or invalid, 3 conflict, 4 unknown "
    "outcome, 5 unavailable.";

void add_global_options(CLI::App& app, session& run)
{
    app.set_version_flag("--version", "caperpathctl " CAPERPATH_VERSION);
    app.add_flag("--json", run.json, "one line of JSON instead of a table");
    app.add_option("--settings", run.settings_file,
                   R"(JSON file: {"platform": "IP:port", "author": "name"})")
        ->type_name("FILE");
    app.add_option("--platform", run.platform_address,
                   "the platform's address; overrides the settings")
        ->type_name("IP:port");
    app.add_option("--author", run.author,
                   "your name in the history; overrides the settings")
        ->type_name("NAME");
}

void read_settings(session& run, std::vector<config::fault>& faults)
{
    auto const value = read_file(run.settings_file, faults);
    if (!faults.empty())
    {
        return;
    }
    config::json_reader reader{value, "", faults};
    auto const platform = reader.address("platform");
    auto const author = reader.text("author", "");
    reader.finish();
    run.platform_address =
        run.platform_address.empty() ? platform : run.platform_address;
    run.author = run.author.empty() ? author : run.author;
}

// Sets `run.port` and returns true; otherwise prints the faults.
bool open_platform(session& run)
{
    std::vector<config::fault> faults;
    if (!run.settings_file.empty())
    {
        read_settings(run, faults);
    }
    if (faults.empty() && !config::is_address(run.platform_address))
    {
        faults.push_back({"--platform", "expected a numeric IPv4 address and "
                                        "port, IP:port (or --settings FILE)"});
    }
    if (!faults.empty())
    {
        run.code = print_faults(run, faults);
        return false;
    }
    run.port = run.connect(run.platform_address);
    return true;
}

} // namespace

int run(session& run, int argc, char const* const* argv)
{
    CLI::App app{"Administers a caperpath site: customers, budgets, policies, "
                 "configuration, routers and engines."};
    app.name("caperpathctl");
    app.footer(exit_code_help);
    app.require_subcommand(1);
    // Accepts --json and the other global options after the verb as well.
    app.fallthrough();
    add_global_options(app, run);
    add_customer(app, run);
    add_budget(app, run);
    add_policy(app, run);
    add_config(app, run);
    add_fleet(app, run);
    add_drain(app, run);
    add_engine(app, run);
    add_report(app, run);
    add_completion(app, run);
    try
    {
        app.parse(argc, argv);
    }
    catch (CLI::ParseError const& ending)
    {
        return app.exit(ending, run.out, run.err) == 0 ? exit_ok : exit_invalid;
    }
    return run.code;
}

CLI::App* add_local_verb(CLI::App& group, session& run, std::string const& name,
                         std::string const& help, std::function<int()> act)
{
    auto* verb = group.add_subcommand(name, help);
    verb->final_callback([&run, act = std::move(act)] { run.code = act(); });
    return verb;
}

CLI::App* add_verb(CLI::App& group, session& run, std::string const& name,
                   std::string const& help, std::function<int()> act)
{
    return add_local_verb(group, run, name, help,
                          [&run, act = std::move(act)]
                          { return open_platform(run) ? act() : run.code; });
}

CLI::App* add_watched_verb(CLI::App& group, session& run,
                           std::string const& name, std::string const& help,
                           std::function<int()> act)
{
    auto const seconds = std::make_shared<int>(0);
    auto const repeat = [&run, seconds, act = std::move(act)]
    {
        auto code = act();
        while (*seconds > 0 && code == exit_ok)
        {
            run.out.flush();
            run.pause({*seconds * std::int64_t{1'000}});
            code = act();
        }
        return code;
    };
    auto* verb = add_verb(group, run, name, help, repeat);
    verb->add_option("--watch", *seconds, "repeat at this interval")
        ->type_name("SECONDS")
        ->check(CLI::Range(1, 3'600));
    return verb;
}

result<config::document> load_or_empty(store::port const& port)
{
    BOOST_LEAF_AUTO(current, config::read_current(port));
    if (current.version == 0)
    {
        return config::document{};
    }
    return config::load_object(port, current.object);
}

std::optional<config::document> current_document(session& run)
{
    auto const loaded = value_or_error([&] { return load_or_empty(run.port); });
    if (auto const* document = std::get_if<0>(&loaded))
    {
        return *document;
    }
    run.code = print_error(run, std::get<error>(loaded), false);
    return std::nullopt;
}

config::patch_result
submit_current(session& run, std::string const& id,
               std::function<wanted_patch(config::document const&)> const& make)
{
    config::patch_result outcome;
    for (int attempt = 0; attempt < max_conflict_attempts; ++attempt)
    {
        auto const loaded =
            value_or_error([&] { return load_or_empty(run.port); });
        if (auto const* problem = std::get_if<error>(&loaded))
        {
            outcome.status = config::patch_status::unavailable;
            outcome.problem = *problem;
            return outcome;
        }
        auto const& document = std::get<config::document>(loaded);
        auto wanted = make(document);
        if (!wanted.faults.empty())
        {
            outcome.status = config::patch_status::invalid;
            outcome.faults = std::move(wanted.faults);
            return outcome;
        }
        outcome = config::submit_patch(run.port, {document.version,
                                                  std::move(wanted.patch), id,
                                                  run.author, run.wall.now()});
        if (outcome.status != config::patch_status::conflict)
        {
            return outcome;
        }
    }
    return outcome;
}

int patch_current(
    session& run, std::string const& id,
    std::function<wanted_patch(config::document const&)> const& make,
    nlohmann::json const& extra)
{
    auto const used_id = id.empty() ? fresh_id(run) : id;
    return print_patch(run, submit_current(run, used_id, make), used_id, extra);
}

} // namespace caperpath::ctl
