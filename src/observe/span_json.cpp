#include <caperpath/observe/span_sink.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <limits>

namespace caperpath::observe
{

namespace
{

using nlohmann::json;

constexpr std::int64_t nanoseconds_per_ms = 1'000'000;
constexpr std::int64_t nanoseconds_per_us = 1'000;

// A time outside this range overflows 64-bit nanoseconds in OTLP.
constexpr std::int64_t max_ms =
    std::numeric_limits<std::int64_t>::max() / nanoseconds_per_ms / 2;

// OTLP writes 64-bit numbers as JSON strings, since JSON readers lose digits.
std::int64_t read_nanoseconds(json const& value)
{
    auto const text = value.get<std::string>();
    std::int64_t number = 0;
    auto const* const end = text.data() + text.size();
    auto const [stop, fault] = std::from_chars(text.data(), end, number);
    if (fault != std::errc{} || stop != end || number < 0)
    {
        throw std::invalid_argument{"not a number of nanoseconds"};
    }
    return number;
}

json write_attributes(std::vector<span_attribute> const& attributes)
{
    auto array = json::array();
    for (auto const& [key, value] : attributes)
    {
        array.push_back({{"key", key}, {"value", {{"stringValue", value}}}});
    }
    return array;
}

std::vector<span_attribute> read_attributes(json const& array)
{
    std::vector<span_attribute> attributes;
    for (auto const& one : array)
    {
        attributes.push_back(
            {one.at("key").get<std::string>(),
             one.at("value").at("stringValue").get<std::string>()});
    }
    return attributes;
}

span_id read_span_id(json const& value)
{
    auto const text = value.get<std::string>();
    return text.empty() ? span_id{} : parse_span_id(text).value();
}

span read_span(json const& object)
{
    span value;
    value.trace =
        parse_trace_id(object.at("traceId").get<std::string>()).value();
    value.id = read_span_id(object.at("spanId"));
    value.parent = read_span_id(object.at("parentSpanId"));
    value.name = object.at("name").get<std::string>();
    auto const start = read_nanoseconds(object.at("startTimeUnixNano"));
    auto const end = read_nanoseconds(object.at("endTimeUnixNano"));
    value.start = {start / nanoseconds_per_ms};
    value.duration_us = (end - start) / nanoseconds_per_us;
    value.attributes = read_attributes(object.at("attributes"));
    return value;
}

} // namespace

std::string to_json_line(span const& value)
{
    auto const start_ms = std::clamp<std::int64_t>(value.start.ms, 0, max_ms);
    auto const start = start_ms * nanoseconds_per_ms;
    auto const end = start + value.duration_us * nanoseconds_per_us;
    auto const has_parent = value.parent != span_id{};
    json const object{
        {"traceId", to_string(value.trace)},
        {"spanId", to_string(value.id)},
        {"parentSpanId", has_parent ? to_string(value.parent) : ""},
        {"name", value.name},
        {"startTimeUnixNano", std::to_string(start)},
        {"endTimeUnixNano", std::to_string(end)},
        {"attributes", write_attributes(value.attributes)}};
    // Attributes may contain a caller's bytes. Without `replace`, a byte that
    // is not UTF-8 would throw on the writer thread and end all tracing.
    return object.dump(-1, ' ', true, json::error_handler_t::replace);
}

result<span> parse_json_line(std::string_view line)
{
    try
    {
        return read_span(json::parse(line));
    }
    catch (std::exception const& fault)
    {
        return fail({error_kind::invalid, "parse span", "", fault.what()});
    }
}

} // namespace caperpath::observe
