#include "gateway/settings.hpp"

#include <cmath>

namespace caperpath::gateway
{

namespace
{

constexpr double max_seconds = 600;
constexpr double min_retry_window_s = 1;
/// As long as `fleet::row_lifetime`: membership remembers routers that have
/// left for slightly longer than that.
constexpr double max_retry_window_s = 60;
constexpr double max_ratio = 10;
constexpr double max_retry_slack = 1'000'000;
constexpr double max_warm_up_slack = 1'000'000;
constexpr double max_store_calls = 1'000'000;
constexpr double ms_per_second = 1'000;

duration seconds(config::json_reader& reader, char const* key,
                 duration fallback, double least, double longest)
{
    auto const fallback_seconds =
        static_cast<double>(fallback.ms) / ms_per_second;
    auto const found =
        reader.number_or(key, "seconds", least, longest, fallback_seconds);
    return {std::llround(found * ms_per_second)};
}

void read_peer_ports(config::json_reader& reader, settings& into)
{
    auto const text = reader.text("peer_ports", "");
    if (text.empty())
    {
        return;
    }
    auto const comma = text.find(',');
    auto const is_number = [](std::string const& part)
    {
        constexpr std::size_t max_digits = 5;
        return !part.empty() && part.size() <= max_digits &&
               part.find_first_not_of("0123456789") == std::string::npos;
    };
    auto const first = text.substr(0, comma);
    auto const last =
        comma == std::string::npos ? first : text.substr(comma + 1);
    if (!is_number(first) || !is_number(last))
    {
        reader.reject("peer_ports", "two port numbers joined by a comma");
        return;
    }
    into.first_peer_port = std::stoll(first);
    into.last_peer_port = std::stoll(last);
}

void read_regions(config::json_reader& reader, settings& into)
{
    reader.each_member(
        "regions",
        [&reader, &into](std::string const& failure_domain,
                         nlohmann::json const& region, std::string const&)
        {
            if (!region.is_string())
            {
                reader.reject("regions/" + failure_domain, "expected text");
                return;
            }
            into.regions[{failure_domain}] = {region.get<std::string>()};
        });
}

} // namespace

settings read_settings(nlohmann::json const& value,
                       std::vector<config::fault>& faults)
{
    config::json_reader reader{value, "", faults};
    settings parsed;
    parsed.vm = reader.text("vm");
    parsed.failure_domain = reader.text("failure_domain");
    parsed.callers = reader.listen_address("callers");
    parsed.readiness = reader.listen_address("readiness");
    parsed.metrics = reader.listen_address("metrics");
    parsed.store_address = reader.address("store_address");
    parsed.store_writes_per_s = std::llround(reader.number_or(
        "store_writes_per_s", "calls in a second", 1, max_store_calls,
        static_cast<double>(parsed.store_writes_per_s)));
    read_peer_ports(reader, parsed);
    parsed.grace = seconds(reader, "grace_s", parsed.grace, 0, max_seconds);
    parsed.retries.ratio =
        reader.number_or("retry_ratio", "repeats per request", 0, max_ratio,
                         parsed.retries.ratio);
    parsed.retries.allowance =
        reader.number_or("retry_slack", "repeats in a window", 0,
                         max_retry_slack, parsed.retries.allowance);
    parsed.retries.window =
        seconds(reader, "retry_window_s", parsed.retries.window,
                min_retry_window_s, max_retry_window_s);
    parsed.warm_up.factor =
        reader.number_or("warm_up_factor", "times the rate of a cold server", 1,
                         max_ratio, parsed.warm_up.factor);
    parsed.warm_up.requests =
        reader.number_or("warm_up_slack", "requests in a second", 0,
                         max_warm_up_slack, parsed.warm_up.requests);
    parsed.region = {reader.text("region", "")};
    read_regions(reader, parsed);
    reader.finish();
    return parsed;
}

} // namespace caperpath::gateway
