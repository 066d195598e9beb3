#include "gateway/crashes/crash_rows.hpp"

#include <nlohmann/json.hpp>

#include <string_view>

namespace caperpath::gateway
{

namespace
{

using nlohmann::json;

constexpr std::string_view key_begin = "crash/";
constexpr std::string_view key_end = "/fleet";

} // namespace

std::string crash_key(fleet::fingerprint const& request)
{
    return std::string{key_begin} + to_string(request) + std::string{key_end};
}

std::optional<fleet::fingerprint> crash_request(std::string const& key)
{
    auto const around = key_begin.size() + key_end.size();
    if (key.size() <= around || !key.starts_with(key_begin) ||
        !key.ends_with(key_end))
    {
        return std::nullopt;
    }
    return fleet::read_fingerprint(
        std::string_view{key}.substr(key_begin.size(), key.size() - around));
}

std::string encode_evidence(fleet::crash_evidence const& evidence)
{
    return json{{"cleared", evidence.cleared},
                {"crashes", evidence.crashes},
                {"processes", evidence.processes}}
        .dump();
}

std::optional<fleet::crash_evidence> decode_evidence(std::string const& text)
{
    auto const from = json::parse(text, nullptr, false);
    if (!from.is_object() || !from.contains("cleared") ||
        !from["cleared"].is_number_unsigned() || !from.contains("crashes") ||
        !from["crashes"].is_number_unsigned())
    {
        return std::nullopt;
    }
    fleet::crash_evidence evidence{from["cleared"].get<std::uint64_t>(),
                                   from["crashes"].get<std::int64_t>(),
                                   {}};
    // Rows of earlier versions name no processes.
    auto const processes = from.value("processes", json::array());
    if (!processes.is_array() ||
        processes.size() > fleet::most_crashed_processes)
    {
        return std::nullopt;
    }
    for (auto const& each : processes)
    {
        if (!each.is_number_unsigned())
        {
            return std::nullopt;
        }
        evidence.processes.insert(each.get<std::uint64_t>());
    }
    return evidence;
}

} // namespace caperpath::gateway
