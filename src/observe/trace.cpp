#include <caperpath/observe/trace.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace caperpath::observe
{

namespace
{

constexpr std::size_t span_digits = 16;
constexpr std::size_t trace_digits = 32;

// W3C Trace Context: "VV-" trace "-" span "-" flags.
constexpr std::size_t trace_offset = 3;
constexpr std::size_t span_offset = trace_offset + trace_digits + 1;
constexpr std::size_t flags_offset = span_offset + span_digits + 1;
constexpr std::size_t header_size = flags_offset + 2;
constexpr unsigned invalid_version = 0xff;
constexpr unsigned sampled_flag = 1;

constexpr std::int64_t microseconds_per_ms = 1'000;

std::string to_hex(std::uint64_t number)
{
    constexpr std::string_view digits{"0123456789abcdef"};
    std::string text(span_digits, '0');
    for (auto place = text.rbegin(); place != text.rend(); ++place)
    {
        *place = digits[number & 0xfU];
        number >>= 4U;
    }
    return text;
}

bool is_lower_hex(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

// @pre `text` has at most 16 digits.
std::optional<std::uint64_t> parse_hex(std::string_view text)
{
    if (!std::all_of(text.begin(), text.end(), is_lower_hex))
    {
        return std::nullopt;
    }
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number, 16);
    return number;
}

bool has_dashes(std::string_view header)
{
    return header[trace_offset - 1] == '-' && header[span_offset - 1] == '-' &&
           header[flags_offset - 1] == '-';
}

// Version 00 ends after the flags; later versions may continue after a dash.
bool has_valid_end(std::string_view header, std::uint64_t version)
{
    if (header.size() == header_size)
    {
        return true;
    }
    return version > 0 && header[header_size] == '-';
}

} // namespace

std::string to_string(trace_id id)
{
    return to_hex(id.high) + to_hex(id.low);
}

std::string to_string(span_id id)
{
    return to_hex(id.value);
}

std::optional<trace_id> parse_trace_id(std::string_view text)
{
    if (text.size() != trace_digits)
    {
        return std::nullopt;
    }
    auto const high = parse_hex(text.substr(0, span_digits));
    auto const low = parse_hex(text.substr(span_digits));
    if (!high || !low)
    {
        return std::nullopt;
    }
    return trace_id{*high, *low};
}

std::optional<span_id> parse_span_id(std::string_view text)
{
    if (text.size() != span_digits)
    {
        return std::nullopt;
    }
    auto const value = parse_hex(text);
    if (!value)
    {
        return std::nullopt;
    }
    return span_id{*value};
}

std::string format_traceparent(trace_context const& context)
{
    return "00-" + to_string(context.trace) + "-" + to_string(context.span) +
           (context.sampled ? "-01" : "-00");
}

std::optional<trace_context> parse_traceparent(std::string_view header)
{
    if (header.size() < header_size || !has_dashes(header))
    {
        return std::nullopt;
    }
    auto const version = parse_hex(header.substr(0, 2));
    auto const trace =
        parse_trace_id(header.substr(trace_offset, trace_digits));
    auto const parent = parse_span_id(header.substr(span_offset, span_digits));
    auto const flags = parse_hex(header.substr(flags_offset, 2));
    if (!version || !trace || !parent || !flags)
    {
        return std::nullopt;
    }
    if (*version == invalid_version || !has_valid_end(header, *version) ||
        *trace == trace_id{} || *parent == span_id{})
    {
        return std::nullopt;
    }
    return trace_context{*trace, *parent, (*flags & sampled_flag) != 0};
}

id_generator::id_generator(std::uint64_t seed) : engine{seed}
{
}

trace_id id_generator::next_trace_id()
{
    auto const high = this->next();
    auto const low = this->next();
    return {high, low};
}

span_id id_generator::next_span_id()
{
    return {this->next()};
}

// Never returns zero, which means "no id" on the wire.
std::uint64_t id_generator::next()
{
    std::lock_guard const lock{this->mutex};
    std::uint64_t number = 0;
    while (number == 0)
    {
        number = this->engine();
    }
    return number;
}

instant span::end() const
{
    return {this->start.ms + this->duration_us / microseconds_per_ms};
}

std::string_view span::attribute(std::string_view key) const
{
    auto const found =
        std::find_if(this->attributes.begin(), this->attributes.end(),
                     [&](auto const& one) { return one.key == key; });
    return found == this->attributes.end() ? std::string_view{}
                                           : std::string_view{found->value};
}

span_builder::span_builder(std::string name, trace_context const& parent,
                           id_generator& ids, clock const& wall)
    : value{parent.trace,
            ids.next_span_id(),
            parent.span,
            std::move(name),
            wall.now(),
            0,
            {}},
      sampled{parent.sampled}
{
}

trace_context span_builder::context() const
{
    return {this->value.trace, this->value.id, this->sampled};
}

span_builder& span_builder::with_attribute(std::string key, std::string value)
{
    this->value.attributes.push_back({std::move(key), std::move(value)});
    return *this;
}

span span_builder::finish()
{
    this->value.duration_us = this->watch.elapsed_us();
    return std::move(this->value);
}

trace_context continue_trace(std::string_view header, id_generator& ids)
{
    auto const parsed = parse_traceparent(header);
    if (parsed)
    {
        return *parsed;
    }
    return {ids.next_trace_id(), span_id{}, true};
}

} // namespace caperpath::observe
