#include "gateway/crashes/crash_cause_rows.hpp"

#include <caperpath/fleet/placement.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>
#include <cstdint>
#include <string_view>

namespace caperpath::gateway
{

namespace
{

using fleet::crash_trait;
using nlohmann::json;

constexpr std::string_view report_begin = "crash/seen-";
constexpr std::string_view cause_begin = "crash/cause-";
constexpr std::string_view key_end = "/fleet";
constexpr char customer_mark = '@';
constexpr int hex_base = 16;

std::string to_hex(std::uint64_t number)
{
    std::array<char, 2 * sizeof number> text{};
    auto const end =
        std::to_chars(text.data(), text.data() + text.size(), number, hex_base)
            .ptr;
    return {text.data(), end};
}

std::optional<std::uint64_t> parse_hex(std::string_view text)
{
    std::uint64_t number{};
    auto const* const end = text.data() + text.size();
    auto const [stop, fault] =
        std::from_chars(text.data(), end, number, hex_base);
    return fault == std::errc{} && stop == end ? std::optional{number}
                                               : std::nullopt;
}

std::string to_text(crash_trait const& trait)
{
    auto text = to_string(trait.part);
    if (trait.customer != 0)
    {
        text += customer_mark + to_hex(trait.customer);
    }
    return text;
}

std::optional<crash_trait> parse_trait(std::string_view text)
{
    auto const mark = text.find(customer_mark);
    auto const part = parse_hex(text.substr(0, mark));
    auto const customer = mark == std::string_view::npos
                              ? std::optional<std::uint64_t>{0}
                              : parse_hex(text.substr(mark + 1));
    return part && customer ? std::optional{crash_trait{
                                  fleet::prompt_part{*part}, *customer}}
                            : std::nullopt;
}

json to_json(fleet::crash_traits const& traits)
{
    auto list = json::array();
    for (auto const& trait : traits)
    {
        list.push_back(to_text(trait));
    }
    return list;
}

std::optional<fleet::crash_traits> parse_traits(json const& list)
{
    if (!list.is_array() || list.size() > fleet::most_suspects)
    {
        return std::nullopt;
    }
    fleet::crash_traits traits;
    for (auto const& each : list)
    {
        auto const trait = each.is_string()
                               ? parse_trait(each.get<std::string>())
                               : std::nullopt;
        if (!trait)
        {
            return std::nullopt;
        }
        traits.insert(*trait);
    }
    return traits;
}

/// The text of a member; empty if it is missing or has another type.
std::string text_of(json const& from, char const* name)
{
    auto const found = from.find(name);
    return found != from.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string{};
}

bool is_key(std::string const& key, std::string_view begin)
{
    return key.starts_with(begin) && key.ends_with(key_end);
}

} // namespace

std::string report_key(backend_server_id const& server, std::size_t router)
{
    return std::string{report_begin} +
           to_hex(fleet::stable_hash(server.value)) + "-" + to_hex(router) +
           std::string{key_end};
}

bool is_report_key(std::string const& key)
{
    return is_key(key, report_begin);
}

std::string encode_report(crash_report const& report)
{
    return json{{"server", report.server.value},
                {"service", report.crash.service.value},
                {"version", report.crash.version},
                {"suspects", to_json(report.crash.suspects)}}
        .dump();
}

std::optional<crash_report> decode_report(std::string const& text)
{
    auto const from = json::parse(text, nullptr, false);
    if (!from.is_object() || !from.contains("suspects"))
    {
        return std::nullopt;
    }
    auto traits = parse_traits(from["suspects"]);
    crash_report report;
    report.server.value = text_of(from, "server");
    report.crash.service.value = text_of(from, "service");
    report.crash.version = text_of(from, "version");
    if (!traits || report.server.value.empty() ||
        report.crash.service.value.empty())
    {
        return std::nullopt;
    }
    report.crash.suspects = std::move(*traits);
    return report;
}

std::string cause_id(fleet::crash_cause const& cause)
{
    return to_hex(
        fleet::stable_hash(cause.service.value + " " + to_text(cause.traits)));
}

std::string cause_key(fleet::crash_cause const& cause)
{
    return std::string{cause_begin} + cause_id(cause) + std::string{key_end};
}

bool is_cause_key(std::string const& key)
{
    return is_key(key, cause_begin);
}

std::string encode_cause(cause_report const& report)
{
    return json{{"service", report.cause.service.value},
                {"traits", to_json(report.cause.traits)},
                {"lifted", report.state.lifted},
                {"rejected", report.state.rejected}}
        .dump();
}

std::optional<cause_report> decode_cause(std::string const& text)
{
    auto const from = json::parse(text, nullptr, false);
    if (!from.is_object() || !from.contains("traits") ||
        !from.contains("lifted") || !from["lifted"].is_number_unsigned() ||
        !from.contains("rejected") || !from["rejected"].is_boolean())
    {
        return std::nullopt;
    }
    auto traits = parse_traits(from["traits"]);
    auto const service = text_of(from, "service");
    // A cause without properties would reject all requests of the service.
    if (!traits || traits->empty() || service.empty())
    {
        return std::nullopt;
    }
    return cause_report{
        {{service}, std::move(*traits)},
        {from["lifted"].get<std::uint64_t>(), from["rejected"].get<bool>()}};
}

std::string to_text(fleet::crash_traits const& traits)
{
    std::string text;
    for (auto const& trait : traits)
    {
        text += text.empty() ? "" : ",";
        text += to_text(trait);
    }
    return text;
}

} // namespace caperpath::gateway
