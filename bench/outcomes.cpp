#include "outcomes_common.hpp"
#include "outcomes_streams.hpp"

#include <CLI/CLI.hpp>
#include <httplib.h>

#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <set>

/// Measures outcomes for callers during a single fault: a complete site in one
/// process with two routers and callers through both.
namespace
{

using namespace caperpath;
using namespace caperpath::bench;

// Microseconds that one call takes.
std::int64_t timed(std::function<reply()> const& call)
{
    auto const before = std::chrono::steady_clock::now();
    call();
    auto const took = std::chrono::steady_clock::now() - before;
    return std::chrono::duration_cast<std::chrono::microseconds>(took).count();
}

// The same request with and without an idempotency key, in turn.
json claim_latency(options const& given)
{
    site here{2};
    prepay(here);
    std::vector<std::int64_t> with_key;
    std::vector<std::int64_t> without;
    for (std::int64_t i = 0; i < given.orders; ++i)
    {
        auto const router =
            here.router_address(static_cast<std::size_t>(i % 2));
        with_key.push_back(timed(
            [&]
            { return order(router, here.other_key(), std::to_string(i)); }));
        without.push_back(timed(
            [&]
            {
                return call(router, here.other_key(), "POST",
                            "/services/taller-app/parts", "one battery");
            }));
    }
    return {
        {"orders", given.orders},
        {"with_key_p50_us", percentile(with_key, 50)},
        {"with_key_p99_us", percentile(with_key, 99)},
        {"without_key_p50_us", percentile(without, 50)},
        {"without_key_p99_us", percentile(without, 99)},
        {"added_p50_us", percentile(with_key, 50) - percentile(without, 50)}};
}

void post_random_fault(site& here, std::mt19937_64& random)
{
    switch (random() % 5)
    {
    case 0:
        site::post_fault(here.service_address(),
                         {{"kind", "drop_answer"}, {"count", 1}});
        break;
    case 1:
        site::post_fault(here.service_address(),
                         {{"kind", "error"}, {"count", 1}});
        break;
    case 2:
        site::post_fault(
            here.platform_address(),
            {{"step", "commit"}, {"kind", "lost_answer"}, {"count", 1}});
        break;
    case 3:
        site::post_fault(here.platform_address(),
                         {{"step", "any"}, {"kind", "outage"}, {"ms", 40}});
        break;
    default:
        break;
    }
}

// Every non-idempotent request is sent up to three times, through both routers,
// as by a caller that retries after failures.
json mixed(options const& given)
{
    site here{2};
    prepay(here);
    std::mt19937_64 random{given.seed};
    std::int64_t unknown = 0;
    std::int64_t tries = 0;
    std::set<std::string> answered;
    std::set<std::string> ids;
    for (std::int64_t i = 0; i < given.orders; ++i)
    {
        post_random_fault(here, random);
        reply got;
        for (std::size_t attempt = 0; attempt < 3 && got.status != 200;
             ++attempt)
        {
            auto const router = here.router_address((random() + attempt) % 2);
            got = order(router, here.key(), std::to_string(i));
            ++tries;
        }
        ids.insert(got.request_id);
        unknown += got.outcome == "unknown" ? 1 : 0;
        if (got.outcome == "completed")
        {
            answered.insert(got.request_id);
        }
    }
    here.wait_for_bills(answered.size());
    std::int64_t most = 0;
    for (auto const& id : ids)
    {
        most = std::max(most, here.executions(id));
    }
    std::int64_t bills = 0;
    std::int64_t tokens = 0;
    for (auto const& bill : here.ledger())
    {
        bills += bill.tokens > 0 ? 1 : 0;
        tokens += bill.tokens;
    }
    auto const answers = static_cast<std::int64_t>(answered.size());
    return {{"orders", given.orders},
            {"tries", tries},
            {"runs_per_order", ratio(here.executions(), given.orders)},
            {"most_runs_of_one_order", most},
            {"answered", answers},
            {"bills_per_answer", ratio(bills, answers)},
            {"billed_tokens", tokens},
            {"unknown_share", ratio(unknown, given.orders)}};
}

std::int64_t retries_at(std::string const& router)
{
    auto const where = http::parse_endpoint(router);
    httplib::Client client{where.host, where.port};
    auto const text = client.Get("/metrics")->body;
    std::string const name = "\ncaperpath_retries_total ";
    auto const found = text.find(name);
    return found == std::string::npos
               ? 0
               : std::stoll(text.substr(found + name.size()));
}

// Sixteen callers send one chat after another during an outage.
json engine_outage(options const& given, bool all_engines)
{
    constexpr int callers = 16;
    constexpr duration pause{50};
    auto engine = site::fast_engine();
    engine.token_time = {5};
    site here{2, engine};
    prepay(here);
    auto const end = time_source().now() + duration{given.seconds * 1'000};
    for (std::size_t i = 0; i < (all_engines ? 2U : 1U); ++i)
    {
        site::post_fault(here.engine_address(i),
                         {{"kind", "outage"}, {"ms", given.seconds * 1'000}});
    }
    std::atomic<std::int64_t> asked{0};
    std::atomic<std::int64_t> good{0};
    std::vector<std::future<void>> running;
    for (std::size_t i = 0; i < callers; ++i)
    {
        running.push_back(std::async(
            std::launch::async,
            [&, i]
            {
                while (time_source().now() < end)
                {
                    auto const got = chat(here.router_address(i % 2),
                                          here.other_key(), "go [tokens=8]");
                    ++asked;
                    good += got.status == 200 ? 1 : 0;
                    sleep(pause);
                }
            }));
    }
    for (auto& one : running)
    {
        one.get();
    }
    auto const retries =
        retries_at(here.router_address(0)) + retries_at(here.router_address(1));
    return {{"seconds", given.seconds},
            {"requests", asked.load()},
            {"answered", good.load()},
            {"retries", retries},
            {"attempts_per_request", 1 + ratio(retries, asked)}};
}

std::map<std::string, std::function<json(options const&)>> const& measurements()
{
    static std::map<std::string, std::function<json(options const&)>> const all{
        {"none", claim_latency},
        {"mixed", mixed},
        {"engine_outage",
         [](options const& given)
         {
             return engine_outage(given, false);
         }},
        {"all_engines_outage",
         [](options const& given)
         {
             return engine_outage(given, true);
         }},
        {"silence", silence},
        {"leaving", leaving},
        {"stop", planned_stop}};
    return all;
}

} // namespace

int main(int argc, char** argv)
{
    options given;
    CLI::App app{"Measures outcomes for callers during a single fault"};
    std::set<std::string> names;
    for (auto const& [name, measure] : measurements())
    {
        names.insert(name);
    }
    app.add_option("--seed", given.seed, "seed of the order of faults");
    app.add_option("--fault", given.fault)->check(CLI::IsMember(names));
    app.add_option("--orders", given.orders);
    app.add_option("--seconds", given.seconds, "length of an engine outage");
    app.add_flag("--json", given.as_json, "one line of JSON");
    CLI11_PARSE(app, argc, argv);
    auto result = measurements().at(given.fault)(given);
    result["fault"] = given.fault;
    result["seed"] = given.seed;
    std::cout << result.dump(given.as_json ? -1 : 2) << '\n';
    return 0;
}
