#include "store/store_emulator.hpp"

#include "store/wire_json.hpp"

namespace caperpath::store
{

namespace
{

constexpr std::int64_t max_rate = 1'000'000;
constexpr std::int64_t max_lag_ms = 600'000;

} // namespace

store_emulator_settings
read_store_emulator_settings(nlohmann::json const& value,
                             std::vector<config::fault>& faults)
{
    config::json_reader reader{value, "", faults};
    store_emulator_settings const defaults;
    store_emulator_settings settings;
    settings.listen = reader.listen_address("listen");
    settings.writes_per_second =
        reader.integer_or("writes_per_second", "writes a second", 1, max_rate,
                          defaults.writes_per_second);
    settings.reads_per_second =
        reader.integer_or("reads_per_second", "reads a second", 1, max_rate,
                          defaults.reads_per_second);
    settings.list_lag.ms = reader.integer_or("list_lag_ms", "milliseconds", 0,
                                             max_lag_ms, defaults.list_lag.ms);
    reader.each_element(
        "vms", [&](nlohmann::json const& inner, std::string const& path)
        { settings.vms.push_back(wire::read_vm(inner, path, faults)); });
    reader.finish();
    return settings;
}

} // namespace caperpath::store
