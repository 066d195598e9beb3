#include "gateway/fake_server.hpp"
#include "gateway/http_client.hpp"
#include "platform/protocol_adapter.hpp"
#include "platform/store_port.hpp"

#include <caperpath/fleet/site.hpp>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <sys/resource.h>

#include <ctime>
#include <iomanip>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Measures the cost of a configuration for a router by its number of routes:
/// the read from a store on loopback, parsing, and building the index.
namespace
{

using namespace caperpath;
using gateway::fake_server;
using nlohmann::json;

constexpr std::int64_t customers = 100;
constexpr std::int64_t budget_tokens = 1'000'000;
constexpr double ms_per_second = 1'000;

double processor_ms()
{
    timespec used{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) * ms_per_second +
           static_cast<double>(used.tv_nsec) / 1e6;
}

std::int64_t peak_kb()
{
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss;
}

json route(std::int64_t number)
{
    auto const name = "route-" + std::to_string(number);
    return {{"name", name},
            {"hostname", "host-" + std::to_string(number % 7) + ".example"},
            {"prefix", "/" + name + "/"},
            {"route-type", number % 3 == 0 ? "idempotent" : "streaming"},
            {"backend", "service-" + std::to_string(number % 4)},
            {"attempts", 2},
            {"timeout-ms", 8'000},
            {"target-latency-ms", 300},
            {"itl-target-ms", 250},
            {"priority", number % 3},
            {"session-affinity", true}};
}

std::string configuration(std::int64_t routes)
{
    json all{{"version", 1},
             {"route-table", json::array()},
             {"backends", json::array({{{"name", "service-0"}}})},
             {"tenants", json::array()}};
    for (std::int64_t i = 0; i < routes; ++i)
    {
        all["route-table"].push_back(route(i));
    }
    for (std::int64_t i = 0; i < customers; ++i)
    {
        auto const name = "customer-" + std::to_string(i);
        all["tenants"].push_back({{"name", name},
                                  {"api-keys", {"key-of-" + name}},
                                  {"reserved", budget_tokens}});
    }
    return all.dump();
}

std::string in_base64(std::string const& bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    auto const size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        reinterpret_cast<unsigned char const*>(bytes.data()),
                        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::string stored(std::string const& text)
{
    return json{{"rows", json::array({{{"key", "config"},
                                       {"part", ""},
                                       {"data", in_base64(text)},
                                       {"schema-version", 1}}})},
                {"has-more", false},
                {"schema-version", 1}}
        .dump();
}

/// The configuration as read from a store, and the time of the read.
store::feed_page read(std::string const& body, double& took)
{
    boost::asio::io_context loop;
    fake_server server{loop, [&body](fake_server::request const& got)
                       {
                           return gateway::script{
                               {gateway::complete_response(got, 200, body)}};
                       }};
    constexpr duration patience{60'000};
    auto const port =
        platform::make_store_port(std::make_shared<gateway::http_client>(
                                      loop.get_executor(), server.address()),
                                  server.address(), patience);
    std::optional<store::feed_page> page;
    auto const before = processor_ms();
    port.list("op", patience,
              [&page](std::variant<store::feed_page, error> const& reply)
              {
                  if (auto const* got = std::get_if<store::feed_page>(&reply))
                  {
                      page = *got;
                  }
              });
    while (!page)
    {
        loop.run_for(std::chrono::milliseconds{1});
    }
    took = processor_ms() - before;
    return *page;
}

void measure(std::int64_t routes)
{
    auto const body = stored(configuration(routes));
    double read_ms = 0;
    auto const page = read(body, read_ms);
    auto const names = platform::make_protocol_adapter();
    auto const before_text = processor_ms();
    auto parts =
        std::get<fleet::site_parts>(names.read_site(page.rows.front().value));
    auto const before_index = processor_ms();
    fleet::site const built{std::move(parts)};
    auto const after = processor_ms();
    std::cout << std::setw(8) << built.routes().size() << std::setw(12)
              << body.size() << std::fixed << std::setprecision(1)
              << std::setw(10) << read_ms << std::setw(10)
              << before_index - before_text << std::setw(10)
              << after - before_index << std::setw(12) << peak_kb() << '\n';
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<std::int64_t> sizes{100, 1'400, 5'600, 20'000};
    CLI::App options{"Measures the cost of a configuration for a router"};
    options.add_option("--routes", sizes, "Numbers of routes");
    CLI11_PARSE(options, argc, argv);
    std::cout << "  routes       bytes   read ms   text ms  index ms"
                 "     peak KB\n";
    for (auto const routes : sizes)
    {
        measure(routes);
    }
}
