#include "stand_in/engine_settings.hpp"

#include <nlohmann/json.hpp>

#include <string_view>

namespace caperpath::stand_in
{

namespace
{

constexpr std::int64_t max_ms = 600'000;
constexpr std::int64_t max_slots = 10'000;
constexpr std::int64_t max_cache_tokens = 100'000'000;

} // namespace

std::string read_listen(config::json_reader& reader)
{
    auto text = reader.text("listen");
    // `is_address` rejects port 0, which is valid for listening: check port 1.
    auto const checked =
        text.ends_with(":0") ? text.substr(0, text.size() - 1) + "1" : text;
    if (!text.empty() && !config::is_address(checked))
    {
        reader.reject("listen",
                      "expected a numeric IPv4 address and port, IP:port");
    }
    return text;
}

engine_settings parse_engine_settings(nlohmann::json const& document,
                                      std::vector<config::fault>& faults)
{
    config::json_reader reader{document, "", faults};
    engine_settings const defaults;
    engine_settings settings;
    auto const span = [&reader](std::string_view key, duration fallback)
    {
        return duration{
            reader.integer_or(key, "milliseconds", 0, max_ms, fallback.ms)};
    };
    settings.listen = read_listen(reader);
    settings.name = reader.text("name");
    settings.model = reader.text("model");
    settings.slots =
        reader.integer_or("slots", "requests", 1, max_slots, defaults.slots);
    settings.max_queue = reader.integer_or("max_queue", "requests", 0,
                                           max_slots, defaults.max_queue);
    settings.prefill_per_1000_tokens =
        span("prefill_ms_per_1000_tokens", defaults.prefill_per_1000_tokens);
    settings.first_token = span("first_token_ms", defaults.first_token);
    settings.token_time = span("token_ms", defaults.token_time);
    settings.batch_slope_percent =
        reader.integer_or("batch_slope_percent", "percent", 0, 10'000,
                          defaults.batch_slope_percent);
    settings.cache_capacity =
        reader.integer_or("cache_capacity", "tokens", 0, max_cache_tokens,
                          defaults.cache_capacity);
    settings.load_lag = span("load_lag_ms", defaults.load_lag);
    settings.event_lag = span("event_lag_ms", defaults.event_lag);
    settings.event_gap_percent = reader.integer_or(
        "event_gap_percent", "percent", 0, 100, defaults.event_gap_percent);
    settings.checks_fencing =
        reader.boolean_or("checks_fencing", defaults.checks_fencing);
    reader.finish();
    return settings;
}

} // namespace caperpath::stand_in
