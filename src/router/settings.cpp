#include "router/settings.hpp"

namespace caperpath::router
{

namespace
{

constexpr std::int64_t max_ms = 3'600'000;
constexpr std::int64_t max_connections_limit = 10'000;
constexpr std::int64_t min_body_bytes = 1'024;
constexpr std::int64_t max_body_bytes_limit = 64 * 1024 * 1024;

duration read_ms(config::json_reader& reader, std::string_view key,
                 std::int64_t min, duration fallback)
{
    return {reader.integer_or(key, "milliseconds", min, max_ms, fallback.ms)};
}

std::size_t read_size(config::json_reader& reader, std::string_view key,
                      std::string_view unit, std::int64_t min, std::int64_t max,
                      std::size_t fallback)
{
    return static_cast<std::size_t>(reader.integer_or(
        key, unit, min, max, static_cast<std::int64_t>(fallback)));
}

} // namespace

settings read_settings(nlohmann::json const& value,
                       std::vector<config::fault>& faults)
{
    settings read;
    config::json_reader reader{value, "", faults};
    read.vm = reader.text("vm");
    read.failure_domain = {reader.text("failure_domain")};
    read.listen = reader.listen_address("listen");
    read.platform = reader.address("platform");
    read.spans_file = reader.text("spans_file", "");
    read.config_poll = read_ms(reader, "config_poll_ms", 10, read.config_poll);
    read.load_poll = read_ms(reader, "load_poll_ms", 10, read.load_poll);
    read.settle_interval =
        read_ms(reader, "settle_interval_ms", 1, read.settle_interval);
    read.deferred_settle_interval =
        read_ms(reader, "deferred_settle_interval_ms", 1,
                read.deferred_settle_interval);
    read.recovery_interval =
        read_ms(reader, "recovery_interval_ms", 100, read.recovery_interval);
    read.vm_list_lag = read_ms(reader, "vm_list_lag_ms", 0, read.vm_list_lag);
    read.balancer_lag =
        read_ms(reader, "balancer_lag_ms", 0, read.balancer_lag);
    read.drain_bound = read_ms(reader, "drain_bound_ms", 0, read.drain_bound);
    read.read_timeout =
        read_ms(reader, "read_timeout_ms", 100, read.read_timeout);
    read.max_connections =
        read_size(reader, "max_connections", "connections", 1,
                  max_connections_limit, read.max_connections);
    read.max_body_bytes =
        read_size(reader, "max_body_bytes", "bytes", min_body_bytes,
                  max_body_bytes_limit, read.max_body_bytes);
    reader.finish();
    return read;
}

} // namespace caperpath::router
