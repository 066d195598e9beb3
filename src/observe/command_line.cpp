#include "observe/command_line.hpp"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>

namespace caperpath::observe
{

namespace
{

struct arguments
{
    std::string settings_file;
    bool check_only{false};
};

void declare(CLI::App& app, program const& self, arguments& parsed)
{
    app.name(self.name);
    app.set_version_flag("--version", self.name + " " CAPERPATH_VERSION);
    app.add_option("--settings", parsed.settings_file, "JSON settings file")
        ->type_name("FILE")
        ->required();
    app.add_flag("--check", parsed.check_only,
                 "check the settings, name every fault and end");
}

std::optional<nlohmann::json> load(std::string const& file,
                                   std::vector<config::fault>& faults)
{
    std::ifstream input{file};
    if (!input)
    {
        faults.push_back({file, "cannot be read"});
        return std::nullopt;
    }
    try
    {
        return nlohmann::json::parse(input);
    }
    catch (nlohmann::json::exception const& fault)
    {
        faults.push_back({file, fault.what()});
        return std::nullopt;
    }
}

} // namespace

std::optional<int>
read_command_line(program const& self, int argc, char const* const* argv,
                  std::function<void(nlohmann::json const&,
                                     std::vector<config::fault>&)> const& check)
{
    CLI::App app{self.purpose};
    arguments parsed;
    declare(app, self, parsed);
    try
    {
        app.parse(argc, argv);
    }
    catch (CLI::ParseError const& ending)
    {
        return app.exit(ending) == 0 ? 0 : exit_bad_settings;
    }
    std::vector<config::fault> faults;
    if (auto const settings = load(parsed.settings_file, faults))
    {
        check(*settings, faults);
    }
    for (auto const& fault : faults)
    {
        std::cerr << fault.path << ": " << fault.detail << '\n';
    }
    if (!faults.empty())
    {
        return exit_bad_settings;
    }
    return parsed.check_only ? std::optional{0} : std::nullopt;
}

} // namespace caperpath::observe
