#include "http/message_framing.hpp"

#include <caperpath/base/http_framing.hpp>
#include <caperpath/base/http_status.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <string>

namespace caperpath::http
{

namespace
{

using view = std::string_view;

constexpr view transfer_encoding = "transfer-encoding";
constexpr view content_length = "content-length";
constexpr view line_end = "\r\n";
constexpr view white_space = " \t";
constexpr unsigned http_10 = 10;
constexpr unsigned http_11 = 11;

bool equals_ignoring_case(view left, view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](unsigned char one, unsigned char other)
                      { return std::tolower(one) == std::tolower(other); });
}

/// Removes the first line of `text` and returns it without its end.
view take_line(view& text)
{
    auto const end = std::min(text.find(line_end), text.size());
    auto const line = text.substr(0, end);
    text.remove_prefix(std::min(end + line_end.size(), text.size()));
    return line;
}

void note_field(framing_fields& fields, view name, view value)
{
    if (equals_ignoring_case(name, transfer_encoding))
    {
        fields.codings.push_back(value);
    }
    else if (equals_ignoring_case(name, content_length))
    {
        fields.lengths.push_back(value);
    }
}

/// Empty if a line of the head is not a field, or recipients may disagree about
/// its name or its end.
std::optional<framing_fields> parse_fields(view head, unsigned version)
{
    framing_fields fields;
    fields.version = version;
    while (!head.empty())
    {
        auto const line = take_line(head);
        auto const colon = line.find(':');
        auto const name = line.substr(0, colon);
        if (line.empty())
        {
            break;
        }
        if (colon == view::npos || name.empty() ||
            name.find_first_of(white_space) != view::npos)
        {
            return std::nullopt;
        }
        note_field(fields, name, line.substr(colon + 1));
    }
    return fields;
}

/// The methods whose bodies cpp-httplib reads.
bool may_have_body(view method)
{
    constexpr std::array<view, 4> methods{"POST", "PUT", "PATCH", "DELETE"};
    return std::find(methods.begin(), methods.end(), method) != methods.end();
}

/// @pre the framing of the fields is sound.
bool announces_body(framing_fields const& fields)
{
    return !fields.codings.empty() ||
           std::any_of(
               fields.lengths.begin(), fields.lengths.end(),
               [](view length)
               { return length.find_first_not_of(" \t0,") != view::npos; });
}

std::optional<view> find_fault(framing_fields const& fields)
{
    auto const fault = find_framing_fault(fields);
    return fault ? std::optional{to_text(*fault)} : std::nullopt;
}

} // namespace

std::optional<std::string_view> find_request_fault(std::string_view head)
{
    auto const start = take_line(head);
    auto const fields =
        parse_fields(head, start.ends_with("HTTP/1.0") ? http_10 : http_11);
    if (!fields)
    {
        return "invalid_field";
    }
    auto const fault = find_fault(*fields);
    auto const method = start.substr(0, start.find(' '));
    if (!fault && announces_body(*fields) && !may_have_body(method))
    {
        return "unexpected_body";
    }
    return fault;
}

std::optional<std::string_view>
find_response_fault(httplib::Response const& response)
{
    if (!is_final_status(response.status))
    {
        return "invalid_status";
    }
    framing_fields fields;
    fields.version = response.version == "HTTP/1.0" ? http_10 : http_11;
    for (auto const& [name, value] : response.headers)
    {
        if (name.find_first_of(white_space) != std::string::npos)
        {
            return "invalid_field";
        }
        note_field(fields, name, value);
    }
    return find_fault(fields);
}

} // namespace caperpath::http
