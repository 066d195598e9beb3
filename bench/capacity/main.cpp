#include "capacity/parts.hpp"
#include "capacity/site.hpp"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

using namespace caperpath;

namespace
{

/// Each has one budget; the first is used by the streams.
constexpr std::size_t customers = 1'000;

struct part
{
    std::string name;
    bool needs_site{};
    std::function<void(bench::report&)> run;
};

std::vector<part> all_parts(bench::site const& where)
{
    return {
        {"budgets", false, bench::measure_budgets},
        {"settlement", false, bench::measure_settlement},
        {"configuration", false, bench::measure_configuration},
        {"engine-view", false, bench::measure_engine_view},
        {"observation", false, bench::measure_observation},
        {"polling", true,
         [&where](bench::report& out)
         {
             bench::measure_polling(where, out);
         }},
        {"streams", true,
         [&where](bench::report& out)
         {
             bench::measure_streams(where, out);
         }},
        {"requests", true,
         [&where](bench::report& out)
         {
             bench::measure_requests(where, out);
         }},
    };
}

bench::report run(std::vector<part> const& parts, std::string const& only,
                  bool has_site)
{
    bench::report out;
    for (auto const& one : parts)
    {
        bool const wanted = only.empty() || only == one.name;
        if (!wanted)
        {
            continue;
        }
        if (one.needs_site && !has_site)
        {
            std::cerr << one.name << ": not run, needs --router\n";
            continue;
        }
        one.run(out);
    }
    return out;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Measures what one unit of state or work costs, at several "
                 "sizes, and the line through them."};
    bench::site where;
    std::string only;
    bool as_json = false;
    app.add_flag("--json", as_json, "print JSON instead of a table");
    app.add_option("--only", only, "run one part")
        ->check(CLI::IsMember({"budgets", "settlement", "configuration",
                               "engine-view", "observation", "polling",
                               "streams", "requests"}));
    auto* const router = app.add_option("--router", where.router, "IP:port");
    auto* const process = app.add_option("--router-pid", where.router_process,
                                         "its process id, on this machine");
    auto* const platform =
        app.add_option("--platform", where.platform,
                       "IP:port of a caperpath-platform without content");
    auto* const engine = app.add_option("--engine", where.engine, "IP:port");
    router->needs(process)->needs(platform)->needs(engine);
    CLI11_PARSE(app, argc, argv);
    // A server that closes a connection must not end the measurement.
    std::signal(SIGPIPE, SIG_IGN);
    bool const has_site = !where.router.empty();
    if (has_site)
    {
        bench::prepare(where, customers);
    }
    auto const found = run(all_parts(where), only, has_site);
    std::cout << (as_json ? bench::to_json(found).dump(2) + "\n"
                          : bench::to_text(found));
    return 0;
}
