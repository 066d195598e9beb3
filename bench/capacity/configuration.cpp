#include "capacity/parts.hpp"
#include "capacity/probe.hpp"

#include <caperpath/config/codec.hpp>
#include <caperpath/config/document.hpp>

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace caperpath::bench
{

namespace
{

constexpr std::size_t customers[] = {10, 100, 1'400};
constexpr std::size_t servers[] = {20, 300, 2'100};
/// Parsing is quadratic in the members of one object (see docs/CAPACITY.md):
/// 850,000 budgets did not end within five minutes.
constexpr std::size_t budgets[] = {1'000, 3'000, 10'000, 30'000};
constexpr std::size_t rounds = 5;
constexpr std::size_t large_text = 500'000; ///< bytes; parsed once
constexpr std::size_t ports_an_address = 50'000;
constexpr std::size_t first_port = 10'000;

config::customer make_customer(std::size_t index)
{
    config::customer made;
    auto const digits = std::to_string(10'000'000 + index);
    made.keys = {{"0011223344556677889900aa" + digits,
                  "7b4715b60d343b600e78863b2f05f415ab4bbd921fb02cee14a31"
                  "75b" +
                      digits}};
    made.budget = {"budget-0"};
    return made;
}

config::backend_server make_server(std::size_t index)
{
    config::backend_server made;
    made.serves = "asistente";
    made.address = "10.0." + std::to_string(index / ports_an_address) +
                   ".1:" + std::to_string(first_port + index);
    made.failure_domain = {"domain-" + std::to_string(index % 18)};
    return made;
}

config::document make_document(std::size_t customer_count,
                               std::size_t server_count,
                               std::size_t budget_count)
{
    config::document made;
    made.version = 1;
    made.models[{"asistente"}] = {};
    for (std::size_t i = 0; i < budget_count; ++i)
    {
        made.budgets[{"budget-" + std::to_string(i)}] = {};
    }
    for (std::size_t i = 0; i < customer_count; ++i)
    {
        made.customers[{"customer-" + std::to_string(i)}] = make_customer(i);
    }
    for (std::size_t i = 0; i < server_count; ++i)
    {
        made.backend_servers[{"engine-" + std::to_string(i)}] = make_server(i);
    }
    return made;
}

struct cost
{
    double text_bytes{};
    double parse_us{};
    double memory_bytes{};
};

config::document parse(std::string const& text)
{
    std::vector<config::fault> faults;
    return config::parse_document(config::parse_text(text, faults), faults);
}

cost measure(config::document const& source)
{
    auto const text = config::to_json(source).dump();
    auto const before = allocated_bytes();
    auto held = std::make_unique<config::document>(parse(text));
    auto const memory = allocated_bytes() - before;
    auto const repeats = text.size() > large_text ? 1 : rounds;
    auto const time =
        time_call(repeats, 1, [&](std::size_t) { *held = parse(text); });
    return {static_cast<double>(text.size()), time, memory};
}

void add_series(report& out, std::string const& counted,
                std::vector<std::size_t> const& sizes,
                std::function<config::document(std::size_t)> const& make)
{
    series bytes{"configuration", "document", counted, "bytes", {}};
    series parsing{"configuration", "parse and check", counted, "us", {}};
    series memory{"configuration", "memory", counted, "bytes", {}};
    for (auto const count : sizes)
    {
        auto const found = measure(make(count));
        auto const size = static_cast<double>(count);
        bytes.points.push_back({size, found.text_bytes});
        parsing.points.push_back({size, found.parse_us});
        memory.points.push_back({size, found.memory_bytes});
    }
    for (auto* one : {&bytes, &parsing, &memory})
    {
        out.lines.push_back(std::move(*one));
    }
}

} // namespace

void measure_configuration(report& out)
{
    add_series(out, "customers", {std::begin(customers), std::end(customers)},
               [](std::size_t n) { return make_document(n, 1, 1); });
    add_series(out, "backend servers", {std::begin(servers), std::end(servers)},
               [](std::size_t n) { return make_document(1, n, 1); });
    add_series(out, "budgets", {std::begin(budgets), std::end(budgets)},
               [](std::size_t n) { return make_document(1, 1, n); });
}

} // namespace caperpath::bench
