#include "ctl/verbs.hpp"

#include <caperpath/config/codec.hpp>

#include <CLI/CLI.hpp>

#include <algorithm>
#include <array>
#include <ctime>
#include <memory>
#include <variant>

namespace caperpath::ctl
{

namespace
{

using nlohmann::json;

struct config_options
{
    std::string file;
    std::string name;
    std::string id;
    std::string from; ///< number or name
    std::string to;
    std::uint64_t base{};
    std::size_t limit{20};
};

bool is_number(std::string const& text)
{
    constexpr std::size_t max_digits = 12;
    return !text.empty() && text.size() <= max_digits &&
           text.find_first_not_of("0123456789") == std::string::npos;
}

// Formats a time for people, in UTC: "2026-12-02 21:40:00".
std::string date_text(instant at)
{
    constexpr std::size_t longest = 32;
    auto const seconds = static_cast<std::time_t>(at.ms / 1'000);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, longest> text{};
    auto const size =
        std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M:%S", &parts);
    return {text.data(), size};
}

result<std::uint64_t> version_of(session& run, std::string const& text)
{
    if (is_number(text))
    {
        return std::stoull(text);
    }
    return config::find_version(run.port, text);
}

// Loads a version by number or name, or the version in force if `text` is
// empty.
result<config::document> load(session& run, std::string const& text)
{
    if (text.empty())
    {
        return config::load_current(run.port);
    }
    BOOST_LEAF_AUTO(version, version_of(run, text));
    return config::load_version(run.port, version);
}

int show(session& run, config_options const& options)
{
    auto const loaded = value_or_error([&] { return load(run, options.from); });
    if (auto const* problem = std::get_if<error>(&loaded))
    {
        return print_error(run, *problem, false);
    }
    auto const value = config::to_json(std::get<config::document>(loaded));
    constexpr int indent = 2;
    print(run, value, {{value.dump(indent)}});
    return exit_ok;
}

int diff(session& run, config_options const& options)
{
    auto const both = value_or_error(
        [&]() -> result<std::vector<config::change>>
        {
            BOOST_LEAF_AUTO(from, load(run, options.from));
            BOOST_LEAF_AUTO(to, load(run, options.to));
            return config::changes_between(config::to_json(from),
                                           config::to_json(to));
        });
    if (auto const* problem = std::get_if<error>(&both))
    {
        return print_error(run, *problem, false);
    }
    json value = json::array();
    std::vector<std::vector<std::string>> table{{"PATH", "BEFORE", "AFTER"}};
    for (auto const& one : std::get<0>(both))
    {
        value.push_back(
            {{"path", one.path}, {"before", one.before}, {"after", one.after}});
        table.push_back({one.path, one.before, one.after});
    }
    print(run, {{"changes", value}}, table);
    return exit_ok;
}

int patch(session& run, config_options const& options)
{
    std::vector<config::fault> faults;
    auto const value = read_file(options.file, faults);
    if (!faults.empty())
    {
        return print_faults(run, faults);
    }
    auto const id = options.id.empty() ? fresh_id(run) : options.id;
    auto const outcome = config::submit_patch(
        run.port, {options.base, value, id, run.author, run.wall.now()});
    return print_patch(run, outcome, id);
}

int roll_forward(session& run, config_options const& options)
{
    auto const older =
        value_or_error([&] { return version_of(run, options.from); });
    if (auto const* problem = std::get_if<error>(&older))
    {
        return print_error(run, *problem, false);
    }
    auto const id = options.id.empty() ? fresh_id(run) : options.id;
    auto const outcome = config::roll_forward(
        run.port, {options.base, {}, id, run.author, run.wall.now()},
        std::get<0>(older));
    return print_patch(run, outcome, id);
}

int log(session& run, config_options const& options)
{
    auto const history = value_or_error(
        [&]() -> result<std::vector<config::version_record>>
        {
            BOOST_LEAF_AUTO(current, config::read_current(run.port));
            auto const shown =
                std::min<std::uint64_t>(current.version, options.limit);
            return config::list_versions(run.port, current.version - shown,
                                         options.limit);
        });
    if (auto const* problem = std::get_if<error>(&history))
    {
        return print_error(run, *problem, false);
    }
    json value = json::array();
    std::vector<std::vector<std::string>> table{
        {"VERSION", "AT (UTC)", "AUTHOR", "NAME", "PATCH"}};
    for (auto const& one : std::get<0>(history))
    {
        value.push_back({{"version", one.version},
                         {"at_ms", one.at.ms},
                         {"author", one.author},
                         {"name", one.name},
                         {"patch_id", one.patch_id}});
        table.push_back({std::to_string(one.version), date_text(one.at),
                         one.author, one.name, one.patch_id});
    }
    print(run, {{"versions", value}}, table);
    return exit_ok;
}

int check(session& run, config_options const& options)
{
    std::vector<config::fault> faults;
    auto const value = read_file(options.file, faults);
    if (faults.empty())
    {
        config::parse_document(value, faults);
    }
    if (!faults.empty())
    {
        return print_faults(run, faults);
    }
    print(run, {{"valid", true}}, {{"valid"}});
    return exit_ok;
}

int name(session& run, config_options const& options)
{
    auto const outcome =
        config::name_version(run.port, options.base, options.name);
    return print_patch(run, outcome, options.name, {{"name", options.name}});
}

void add_readers(CLI::App& group, session& run,
                 std::shared_ptr<config_options> const& options)
{
    auto* shown =
        add_verb(group, run, "show", "a version, by default the one in force",
                 [&run, options] { return show(run, *options); });
    shown->add_option("VERSION", options->from, "number or name");
    auto* compared =
        add_verb(group, run, "diff", "list the changes from A to B",
                 [&run, options] { return diff(run, *options); });
    compared->add_option("A", options->from, "number or name")->required();
    compared->add_option("B", options->to,
                         "number or name, by default the one in force");
    auto* logged =
        add_watched_verb(group, run, "log", "the latest versions",
                         [&run, options] { return log(run, *options); });
    logged->add_option("--limit", options->limit, "how many versions")
        ->check(CLI::Range(1, 1'000));
    auto* checked =
        add_local_verb(group, run, "check", "check a whole document in a file",
                       [&run, options] { return check(run, *options); });
    checked->add_option("FILE", options->file)->required();
}

void add_writers(CLI::App& group, session& run,
                 std::shared_ptr<config_options> const& options)
{
    auto* patched =
        add_verb(group, run, "patch", "apply a JSON Patch or a merge patch",
                 [&run, options] { return patch(run, *options); });
    patched->add_option("FILE", options->file)->required();
    patched
        ->add_option("--base", options->base,
                     "the version you last read, 0 for the first document")
        ->required();
    patched->add_option("--id", options->id,
                        "id of this patch, for a safe retry");
    auto* rolled =
        add_verb(group, run, "roll-forward",
                 "make the content of a version the next one",
                 [&run, options] { return roll_forward(run, *options); });
    rolled->add_option("VERSION", options->from, "number or name")->required();
    rolled->add_option("--base", options->base, "the version you last read")
        ->required();
    rolled->add_option("--id", options->id,
                       "id of this patch, for a safe retry");
    auto* named = add_verb(group, run, "name", "name a version permanently",
                           [&run, options] { return name(run, *options); });
    named->add_option("VERSION", options->base)->required();
    named->add_option("NAME", options->name)->required();
}

} // namespace

void add_config(CLI::App& app, session& run)
{
    auto* group = app.add_subcommand("config", "numbered configuration");
    group->require_subcommand(1);
    group->fallthrough();
    auto const options = std::make_shared<config_options>();
    add_readers(*group, run, options);
    add_writers(*group, run, options);
}

} // namespace caperpath::ctl
