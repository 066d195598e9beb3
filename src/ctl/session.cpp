#include "ctl/session.hpp"

#include <caperpath/config/codec.hpp>
#include <caperpath/config/keys.hpp>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iterator>
#include <ostream>
#include <utility>

namespace caperpath::ctl
{

namespace
{

using nlohmann::json;

constexpr std::size_t column_gap = 2;
constexpr std::size_t id_bytes = 8;

int code_of(error_kind kind, bool wrote)
{
    switch (kind)
    {
    case error_kind::invalid:
        return exit_invalid;
    case error_kind::conflict:
        return exit_conflict;
    case error_kind::refused:
    case error_kind::unavailable:
        return exit_unavailable;
    case error_kind::timeout:
        return wrote ? exit_unknown : exit_unavailable;
    case error_kind::not_found:
    case error_kind::internal:
        break;
    }
    return exit_failed;
}

std::string advice_for(int code)
{
    switch (code)
    {
    case exit_conflict:
        return "review the changes and decide again";
    case exit_unknown:
        return "repeat the command with the same --id to learn what happened";
    case exit_unavailable:
        return "nothing took effect; check that the peer is up and repeat";
    case exit_invalid:
        return "correct the command or the document";
    default:
        return "see the detail; if it names a damaged row, keep it and report "
               "it";
    }
}

json to_json(error const& problem, std::string const& advice)
{
    return {{"kind", to_string(problem.kind)},
            {"step", problem.step},
            {"peer", problem.peer},
            {"detail", problem.detail},
            {"advice", advice}};
}

int code_of(config::patch_status status)
{
    switch (status)
    {
    case config::patch_status::accepted:
        return exit_ok;
    case config::patch_status::conflict:
        return exit_conflict;
    case config::patch_status::invalid:
        return exit_invalid;
    case config::patch_status::unknown:
        return exit_unknown;
    case config::patch_status::unavailable:
        break;
    }
    return exit_unavailable;
}

int print_conflict(session& run, config::patch_result const& outcome)
{
    auto const* const where = outcome.paths_overlap
                                  ? "the patch touches what changed"
                                  : "the patch touches other paths";
    if (run.json)
    {
        json changed = json::array();
        for (auto const& one : outcome.changed)
        {
            changed.push_back({{"path", one.path},
                               {"before", one.before},
                               {"after", one.after}});
        }
        run.out << json{{"conflict",
                         {{"version", outcome.version},
                          {"same_paths", outcome.paths_overlap},
                          {"changed", std::move(changed)}}}}
                << '\n';
        return exit_conflict;
    }
    run.err << "conflict: version " << outcome.version << " is in force; "
            << where << '\n';
    for (auto const& one : outcome.changed)
    {
        run.err << "  " << one.path << ": "
                << (one.before.empty() ? "(none)" : one.before) << " -> "
                << (one.after.empty() ? "(none)" : one.after) << '\n';
    }
    run.err << "do: patch against version " << outcome.version << '\n';
    return exit_conflict;
}

} // namespace

void print(session& run, json const& value,
           std::vector<std::vector<std::string>> const& table)
{
    if (run.json)
    {
        run.out << value << '\n';
        return;
    }
    std::vector<std::size_t> widths;
    for (auto const& row : table)
    {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    for (auto const& row : table)
    {
        for (std::size_t i = 0; i + 1 < row.size(); ++i)
        {
            run.out << std::left
                    << std::setw(static_cast<int>(widths[i] + column_gap))
                    << row[i];
        }
        run.out << (row.empty() ? "" : row.back()) << '\n';
    }
}

int print_error(session& run, error const& problem, bool wrote,
                std::string const& advice)
{
    auto const code = code_of(problem.kind, wrote);
    auto const what_to_do = advice.empty() ? advice_for(code) : advice;
    if (run.json)
    {
        run.out << json{{"error", to_json(problem, what_to_do)}} << '\n';
        return code;
    }
    run.err << "caperpathctl: " << to_string(problem) << '\n'
            << "do: " << what_to_do << '\n';
    return code;
}

int print_faults(session& run, std::vector<config::fault> const& faults)
{
    if (run.json)
    {
        json list = json::array();
        for (auto const& one : faults)
        {
            list.push_back({{"path", one.path}, {"detail", one.detail}});
        }
        run.out << json{{"faults", std::move(list)}} << '\n';
        return exit_invalid;
    }
    for (auto const& one : faults)
    {
        run.err << one.path << ": " << one.detail << '\n';
    }
    return exit_invalid;
}

int print_patch(session& run, config::patch_result const& outcome,
                std::string const& id, json extra)
{
    switch (outcome.status)
    {
    case config::patch_status::invalid:
        return print_faults(run, outcome.faults);
    case config::patch_status::conflict:
        return print_conflict(run, outcome);
    case config::patch_status::unknown:
        print_error(run, outcome.problem, true,
                    "it may have taken effect; repeat with --id " + id);
        return exit_unknown;
    case config::patch_status::unavailable:
        print_error(run, outcome.problem, true,
                    "nothing took effect; repeat when the platform is up");
        return code_of(outcome.status);
    case config::patch_status::accepted:
        break;
    }
    json value = {{"version", outcome.version},
                  {"patch_id", id},
                  {"repeated", outcome.already_accepted}};
    std::vector<std::vector<std::string>> table{
        {"version",
         std::to_string(outcome.version) +
             (outcome.already_accepted ? " (accepted earlier)" : "")}};
    if (extra.is_object())
    {
        for (auto const& [name, member] : extra.items())
        {
            table.push_back({name, member.is_string()
                                       ? member.get<std::string>()
                                       : member.dump()});
        }
        value.update(extra);
    }
    print(run, value, table);
    return exit_ok;
}

std::string fresh_id(session& run)
{
    return "ctl-" + config::to_hex(run.random_bytes(id_bytes));
}

json read_file(std::string const& file, std::vector<config::fault>& faults)
{
    std::ifstream input{file};
    if (!input)
    {
        faults.push_back({file, "cannot be read"});
        return {};
    }
    std::string const text{std::istreambuf_iterator<char>{input}, {}};
    return config::parse_text(text, faults);
}

} // namespace caperpath::ctl
