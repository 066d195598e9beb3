#include "load/report.hpp"
#include "load/runner.hpp"

#include <caperpath/base/clock.hpp>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <string>
#include <vector>

namespace
{

using namespace caperpath;

constexpr int exit_wrong_answers = 1;
constexpr int exit_bad_settings = 2;

struct options
{
    std::string settings;
    std::string json_file;
    std::string requests_file;
    std::string run;
    bool check_only{false};
};

void declare(CLI::App& app, options& chosen)
{
    app.set_version_flag("--version", "caperpath-load " CAPERPATH_VERSION);
    app.add_option("--settings", chosen.settings, "JSON scenario file")
        ->type_name("FILE")
        ->required();
    app.add_flag("--check", chosen.check_only,
                 "check the scenario, name every fault and end");
    app.add_option("--json", chosen.json_file, "write the results as JSON")
        ->type_name("FILE");
    app.add_option("--requests", chosen.requests_file,
                   "write one JSON line per request")
        ->type_name("FILE");
    app.add_option("--run", chosen.run,
                   "name of the run, part of every idempotency key; the same "
                   "name replays the same keys (default: the time)")
        ->type_name("NAME");
}

load::scenario read_file(std::string const& file,
                         std::vector<config::fault>& faults)
{
    std::ifstream input{file};
    auto const value = nlohmann::json::parse(input, nullptr, false);
    if (value.is_discarded())
    {
        faults.push_back({file, "cannot be read, or is no JSON"});
        return {};
    }
    return load::read_scenario(value, faults);
}

bool open_output(std::ofstream& stream, std::string const& file)
{
    if (file.empty())
    {
        return true;
    }
    stream.open(file);
    if (!stream)
    {
        std::cerr << file << ": cannot be written\n";
    }
    return static_cast<bool>(stream);
}

int run(load::scenario const& plan, options const& chosen)
{
    std::ofstream json_output;
    std::ofstream requests;
    if (!open_output(json_output, chosen.json_file) ||
        !open_output(requests, chosen.requests_file))
    {
        return exit_bad_settings;
    }
    load::observer const watcher{[&](load::record const& one)
                                 {
                                     if (requests.is_open())
                                     {
                                         requests
                                             << load::to_json_line(plan, one)
                                             << '\n';
                                     }
                                 },
                                 [](std::string const& line)
                                 {
                                     std::cerr << line;
                                 }};
    auto const read = load::run_scenario(plan, chosen.run, watcher);
    if (json_output.is_open())
    {
        json_output << load::to_json(read).dump(2) << '\n';
    }
    std::cout << load::to_table(read);
    return read.all.endings.contains("wrong") ? exit_wrong_answers : 0;
}

} // namespace

int main(int argc, char** argv)
{
    options chosen;
    CLI::App app{"Sends requests to routers at a given rate, checks every "
                 "answer and reports what came back.\nExit codes: 0 done, 1 "
                 "a caller got a wrong answer, 2 bad scenario or file.",
                 "caperpath-load"};
    declare(app, chosen);
    try
    {
        app.parse(argc, argv);
    }
    catch (CLI::ParseError const& ending)
    {
        return app.exit(ending) == 0 ? 0 : exit_bad_settings;
    }
    std::vector<config::fault> faults;
    auto const plan = read_file(chosen.settings, faults);
    for (auto const& fault : faults)
    {
        std::cerr << fault.path << ": " << fault.detail << '\n';
    }
    if (!faults.empty())
    {
        return exit_bad_settings;
    }
    if (chosen.run.empty())
    {
        chosen.run = std::to_string(clock::wall().now().ms);
    }
    return chosen.check_only ? 0 : run(plan, chosen);
}
