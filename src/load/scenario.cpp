#include "load/scenario.hpp"

#include <nlohmann/json.hpp>

namespace caperpath::load
{

namespace
{

using config::fault;
using config::json_reader;
using nlohmann::json;

// Each open request uses one thread.
constexpr std::int64_t max_threads = 2'000;
constexpr std::int64_t max_rate = 20'000;
constexpr std::int64_t max_weight = 1'000'000;
constexpr std::int64_t max_tokens = 100'000;
constexpr std::int64_t max_bytes = 1'000'000;
constexpr std::int64_t max_attempts = 100;
constexpr std::int64_t day_ms = 86'400'000;

request_kind read_kind(json_reader& reader)
{
    auto const text = reader.text("kind");
    for (auto const kind : {request_kind::stream, request_kind::short_answer,
                            request_kind::order})
    {
        if (text == to_string(kind))
        {
            return kind;
        }
    }
    reader.reject("kind", "expected \"stream\", \"short\" or \"order\"");
    return request_kind::stream;
}

customer_load read_customer(json const& value, std::string const& path,
                            std::vector<fault>& faults)
{
    json_reader reader{value, path, faults};
    customer_load read;
    read.name = reader.text("name");
    read.key = reader.text("key");
    read.weight = reader.integer_or("weight", "share", 1, max_weight, 1);
    read.kind = read_kind(reader);
    if (read.kind == request_kind::order)
    {
        read.service = reader.text("service");
        read.path = reader.text("path");
        reader.finish();
        return read;
    }
    read.model = reader.text("model");
    read.least_tokens = reader.integer("least_tokens", "tokens", 1, max_tokens);
    read.most_tokens = reader.integer("most_tokens", "tokens", 1, max_tokens);
    if (read.most_tokens < read.least_tokens)
    {
        reader.reject("most_tokens", "expected at least least_tokens");
    }
    reader.finish();
    return read;
}

prompt_family read_family(json const& value, std::string const& path,
                          std::vector<fault>& faults)
{
    json_reader reader{value, path, faults};
    prompt_family read;
    read.name = reader.text("name");
    read.weight = reader.integer_or("weight", "share", 1, max_weight, 1);
    read.shared_bytes = reader.integer("shared_bytes", "bytes", 0, max_bytes);
    read.own_bytes = reader.integer("own_bytes", "bytes", 0, max_bytes);
    reader.finish();
    return read;
}

duration read_span(json_reader& reader, std::string_view key,
                   std::int64_t least, duration fallback)
{
    return {reader.integer_or(key, "milliseconds", least, day_ms, fallback.ms)};
}

retry_policy read_retries(json const& value, std::string const& path,
                          std::vector<fault>& faults)
{
    json_reader reader{value, path, faults};
    retry_policy read;
    read.max_attempts = reader.integer_or("max_attempts", "attempts", 1,
                                          max_attempts, read.max_attempts);
    read.first_wait = read_span(reader, "first_wait_ms", 1, read.first_wait);
    read.max_wait = read_span(reader, "most_wait_ms", 1, read.max_wait);
    reader.finish();
    return read;
}

void read_routers(json_reader& reader, scenario& read)
{
    reader.each_element("routers",
                        [&](json const& value, std::string const& path)
                        {
                            if (!value.is_string() ||
                                !config::is_address(value.get<std::string>()))
                            {
                                reader.reject("routers",
                                              path + " is no IP:port");
                                return;
                            }
                            read.routers.push_back(value.get<std::string>());
                        });
    if (read.routers.empty())
    {
        reader.reject("routers", "expected one address IP:port or more");
    }
}

void read_numbers(json_reader& reader, scenario& read)
{
    read.length = read_span(reader, "duration_ms", 1, read.length);
    read.seed = static_cast<std::uint64_t>(reader.integer_or(
        "seed", "number", 0, std::numeric_limits<std::int64_t>::max(), 1));
    read.arrivals_per_second = reader.integer(
        "arrivals_per_second", "requests per second", 1, max_rate);
    read.max_open = reader.integer_or("max_open", "requests", 1, max_threads,
                                      read.max_open);
    read.request_timeout =
        read_span(reader, "request_timeout_ms", 1, read.request_timeout);
    read.progress = read_span(reader, "progress_ms", 0, read.progress);
}

} // namespace

std::string_view to_string(request_kind kind)
{
    switch (kind)
    {
    case request_kind::stream:
        return "stream";
    case request_kind::short_answer:
        return "short";
    case request_kind::order:
        break;
    }
    return "order";
}

scenario read_scenario(json const& value, std::vector<fault>& faults)
{
    json_reader reader{value, "", faults};
    scenario read;
    read_routers(reader, read);
    read_numbers(reader, read);
    reader.each_element(
        "customers", [&](json const& one, std::string const& path)
        { read.customers.push_back(read_customer(one, path, faults)); });
    if (read.customers.empty())
    {
        reader.reject("customers", "expected one customer or more");
    }
    reader.each_element(
        "prompt_families", [&](json const& one, std::string const& path)
        { read.prompt_families.push_back(read_family(one, path, faults)); });
    if (read.prompt_families.empty())
    {
        read.prompt_families.push_back({"plain", 1, 0, 0});
    }
    if (reader.has("retries"))
    {
        read.retries = read_retries(value.at("retries"), "/retries", faults);
    }
    reader.finish();
    return read;
}

} // namespace caperpath::load
