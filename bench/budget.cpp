#include "budget_baselines.hpp"
#include "budget_fleet_faults.hpp"
#include "budget_fleet_run.hpp"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <iostream>
#include <string>
#include <vector>

namespace
{

using namespace caperpath;
using namespace caperpath::bench;
using config::budget_policy;

double part(std::int64_t count, std::int64_t of, double scale)
{
    return of == 0
               ? 0
               : static_cast<double>(count) * scale / static_cast<double>(of);
}

nlohmann::json json_of(figures const& f)
{
    return {
        {"scheme", f.scheme},
        {"requests", f.requests},
        {"admitted", f.admitted},
        {"refused", f.refused},
        {"overspend_tokens", f.overspend},
        {"false_refusals", f.false_refusals},
        {"false_refusals_percent", part(f.false_refusals, f.requests, 100)},
        {"false_refusals_before_99_percent_spent", f.false_before_end},
        {"false_refusals_before_99_percent_spent_percent",
         part(f.false_before_end, f.before_end, 100)},
        {"lost_with_router", f.lost_with_router},
        {"stranded_tokens", f.stranded},
        {"stranded_ms", f.stranded_ms},
        {"held_tokens", f.held},
        {"writes_per_1000", part(f.writes, f.requests, 1'000)},
        {"refused_writes_per_1000", part(f.refused_writes, f.requests, 1'000)},
        {"rows_written_per_1000", part(f.rows, f.requests, 1'000)},
        {"reads_per_1000", part(f.reads, f.requests, 1'000)},
        {"admission_wait_ms_mean", part(f.waited_ms, f.admitted, 1)},
        {"bill_wait_ms_mean", part(f.bill_wait_ms, f.bill_waits, 1)},
        {"bill_wait_ms_most", f.bill_wait_most_ms},
        {"ledger_is_sound", f.ledger_is_sound}};
}

/// Nanoseconds for one reservation within the share, with as many open
/// reservations as a busy router has. Excludes ending reservations.
double nanoseconds_a_reservation()
{
    constexpr std::size_t open_requests = 360;
    constexpr int rounds = 1'000;
    constexpr token_count worst = 1'000;
    auto const policy = budget_policy::false_refusals_first;
    auto share = budget::make_share({"b"}, policy, budget::sizing_for(policy));
    share.share = {1'000'000'000, 1'000'000'000};
    share.share_version = 1;
    std::vector<budget::reserve_request> requests;
    for (std::size_t i = 0; i < open_requests; ++i)
    {
        requests.push_back(
            {{"request-" + std::to_string(i)}, {"b"}, policy, worst, {1'000}});
    }
    std::chrono::nanoseconds span{};
    std::int64_t admitted = 0;
    for (int round = 0; round < rounds; ++round)
    {
        auto const start = std::chrono::steady_clock::now();
        for (auto const& one : requests)
        {
            auto step = budget::reserve(std::move(share), one, {round});
            admitted += step.reply ? 1 : 0;
            share = std::move(step.state);
        }
        span += std::chrono::steady_clock::now() - start;
        for (auto const& one : requests)
        {
            share = budget::cancel(std::move(share), one.request);
        }
    }
    return static_cast<double>(span.count()) / static_cast<double>(admitted);
}

figures run_fleet(settings const& chosen, budget_policy policy,
                  std::vector<request> const& traffic,
                  std::vector<token_count> const& paid)
{
    fleet routers{chosen, policy, traffic, paid};
    auto sums = routers.run();
    sums.scheme = policy == budget_policy::overspend_first
                      ? "overspend_first"
                      : "false_refusals_first";
    return sums;
}

void print(nlohmann::json const& report)
{
    for (auto const& [name, value] : report.items())
    {
        if (name != "schemes")
        {
            std::cout << name << ": " << value << '\n';
        }
    }
    for (auto const& scheme : report.at("schemes"))
    {
        std::cout << '\n';
        for (auto const& [name, value] : scheme.items())
        {
            std::cout << "  " << name << ": " << value << '\n';
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{
        "Measures budgets under traffic and faults, in virtual time, "
        "compared with one table write per request and equal fixed shares"};
    settings chosen;
    std::string policy = "both";
    bool as_json = false;
    app.add_option("--seed", chosen.seed, "seed of traffic and lost responses");
    app.add_option("--policy", policy, "budget policy, or both")
        ->check(
            CLI::IsMember({"overspend_first", "false_refusals_first", "both"}));
    app.add_option("--vms", chosen.vms)->check(CLI::Range(1, 1'000));
    app.add_option("--customers", chosen.customers)
        ->check(CLI::Range(1, 1'000));
    app.add_option("--rate", chosen.rate, "requests a second at each VM");
    app.add_option("--seconds", chosen.seconds, "length of the traffic")
        ->check(CLI::Range(10, 100'000));
    app.add_option("--paid-part", chosen.paid_part,
                   "paid part of the cost of all traffic");
    app.add_option("--durable-ms", chosen.durable_ms,
                   "settle interval under overspend_first");
    app.add_option("--deferred-ms", chosen.deferred_ms,
                   "settle interval under false_refusals_first");
    app.add_option("--fault", chosen.fault, fault_names)
        ->check(CLI::IsMember({"none", "dead_router", "cut_off", "store_outage",
                               "paused", "lost_answers", "replace_all",
                               "top_up_cut_off"}));
    app.add_flag("--json", as_json);
    CLI11_PARSE(app, argc, argv);

    auto const traffic = make_traffic(chosen);
    auto const paid = make_budgets(chosen, traffic);
    auto schemes = nlohmann::json::array();
    for (auto const one :
         {budget_policy::overspend_first, budget_policy::false_refusals_first})
    {
        auto const name = one == budget_policy::overspend_first
                              ? "overspend_first"
                              : "false_refusals_first";
        if (policy == "both" || policy == name)
        {
            schemes.push_back(json_of(run_fleet(chosen, one, traffic, paid)));
        }
    }
    schemes.push_back(json_of(omniscient_ledger(chosen, traffic, paid)));
    schemes.push_back(json_of(one_write_a_request(chosen, traffic, paid)));
    schemes.push_back(json_of(equal_fixed_shares(chosen, traffic, paid)));
    nlohmann::json const report{
        {"seed", chosen.seed},
        {"vms", chosen.vms},
        {"customers", chosen.customers},
        {"rate", chosen.rate},
        {"seconds", chosen.seconds},
        {"paid_part", chosen.paid_part},
        {"fault", chosen.fault},
        {"nanoseconds_a_reservation", nanoseconds_a_reservation()},
        {"schemes", schemes}};
    if (as_json)
    {
        std::cout << report.dump(2) << '\n';
        return 0;
    }
    print(report);
    return 0;
}
