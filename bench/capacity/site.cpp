#include "capacity/site.hpp"

#include "capacity/probe.hpp"
#include "http/server.hpp"

#include <caperpath/budget/recovery.hpp>
#include <caperpath/config/keys.hpp>
#include <caperpath/config/store.hpp>
#include <caperpath/observe/stopwatch.hpp>
#include <caperpath/store/http_port.hpp>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <stdexcept>
#include <thread>

namespace caperpath::bench
{

namespace
{

constexpr token_count paid = 1'000'000'000'000;
constexpr int most_tries = 400;
constexpr auto pause = std::chrono::milliseconds{25};
constexpr auto view_lag = std::chrono::milliseconds{250};
constexpr double us_per_second = 1e6;
constexpr int http_ok = 200;

store::port open(site const& where)
{
    return store::make_http_port({.address = where.platform});
}

std::string number(std::size_t index)
{
    return "customer-" + std::to_string(index);
}

nlohmann::json make_customer(std::size_t index)
{
    auto const hash = config::hash_key(customer_key(index),
                                       std::string(config::salt_bytes, 's'));
    return {{"keys", {{{"salt", hash.salt}, {"sha256", hash.sha256}}}},
            {"budget", number(index)},
            {"max_concurrent", 100'000},
            {"tokens_per_second", 1'000'000'000}};
}

nlohmann::json make_configuration(site const& where, std::size_t customers)
{
    auto document = nlohmann::json::parse(R"({
        "models": {"asistente": {}, "polled": {}},
        "routing": {"policy": "least_outstanding"}
    })");
    document["backend_servers"]["engine-0"] = {{"kind", "engine"},
                                               {"serves", "asistente"},
                                               {"address", where.engine},
                                               {"failure_domain", "one"}};
    for (std::size_t i = 0; i < customers; ++i)
    {
        document["customers"][number(i)] = make_customer(i);
        document["budgets"][number(i)] = {{"policy", "false_refusals_first"}};
    }
    return document;
}

bool answers_ready(std::string const& address)
{
    auto const where = http::parse_endpoint(address);
    httplib::Client client{where.host, where.port};
    auto const answer = client.Get("/readyz");
    return answer && answer->status == http_ok;
}

store_counts read_counts(site const& where)
{
    auto const address = http::parse_endpoint(where.platform);
    httplib::Client client{address.host, address.port};
    auto const answer = client.Get("/stats");
    if (!answer)
    {
        throw std::runtime_error{"the platform did not return its counts"};
    }
    auto const counted = nlohmann::json::parse(answer->body);
    return {counted.at("reads"), counted.at("writes")};
}

void submit(site const& where, std::uint64_t base, nlohmann::json const& change)
{
    auto const id = "capacity-" + std::to_string(base);
    auto const done = config::submit_patch(
        open(where), {base, change, id, "bench", instant{}});
    if (done.status != config::patch_status::accepted)
    {
        auto const why = done.faults.empty() ? to_string(done.problem)
                                             : done.faults.front().path + ": " +
                                                   done.faults.front().detail;
        throw std::runtime_error{"configuration: " + why};
    }
}

} // namespace

std::string customer_key(std::size_t index)
{
    return config::make_key({number(index)},
                            std::string(config::secret_bytes, 'k'));
}

void prepare(site const& where, std::size_t customers)
{
    auto const store = open(where);
    for (std::size_t i = 0; i < customers; ++i)
    {
        auto const raised = value_or_error(
            [&] { return budget::top_up(store, {number(i)}, "first", paid); });
        if (raised.index() != 0)
        {
            throw std::runtime_error{"topping up a budget failed"};
        }
    }
    submit(where, 0, make_configuration(where, customers));
    for (int i = 0; !answers_ready(where.router); ++i)
    {
        if (i == most_tries)
        {
            throw std::runtime_error{"the router did not become ready"};
        }
        std::this_thread::sleep_for(pause);
    }
    // A router is ready up to 50 ms before its view holds a backend server;
    // until then it rejects with "no_backend_server".
    std::this_thread::sleep_for(view_lag);
}

void patch(site const& where, nlohmann::json const& change)
{
    auto const current =
        value_or_error([&] { return config::read_current(open(where)); });
    submit(where, std::get<config::version_pointer>(current).version, change);
}

usage observe_for(site const& where, std::chrono::milliseconds span)
{
    auto const before = read_counts(where);
    auto const cpu = process_us(where.router_process);
    observe::stopwatch const watch;
    std::this_thread::sleep_for(span);
    usage found;
    found.seconds = static_cast<double>(watch.elapsed_us()) / us_per_second;
    found.router_us = process_us(where.router_process) - cpu;
    auto const after = read_counts(where);
    found.reads = static_cast<double>(after.reads - before.reads);
    found.writes = static_cast<double>(after.writes - before.writes);
    return found;
}

} // namespace caperpath::bench
