#include <caperpath/base/http_framing.hpp>

#include <algorithm>
#include <charconv>

namespace caperpath
{

namespace
{

using view = std::string_view;

constexpr unsigned http_11 = 11;

view trim(view text)
{
    constexpr view white_space = " \t";
    auto const first = text.find_first_not_of(white_space);
    if (first == view::npos)
    {
        return {};
    }
    return text.substr(first, text.find_last_not_of(white_space) - first + 1);
}

char lower(char letter)
{
    return letter >= 'A' && letter <= 'Z'
               ? static_cast<char>(letter - 'A' + 'a')
               : letter;
}

bool is_chunked(view coding)
{
    constexpr view chunked = "chunked";
    auto const value = trim(coding);
    return std::equal(
        value.begin(), value.end(), chunked.begin(), chunked.end(),
        [](char left, char right) { return lower(left) == right; });
}

std::optional<std::uint64_t> parse_length(view text)
{
    std::uint64_t length{};
    auto const* const end = text.data() + text.size();
    auto const [stop, code] = std::from_chars(text.data(), end, length);
    return code == std::errc{} && stop == end ? std::optional{length}
                                              : std::nullopt;
}

/// True if `text`, a length or a list of lengths, holds only `length`. Takes
/// the first length if there is none yet.
bool agrees(view text, std::optional<std::uint64_t>& length)
{
    while (true)
    {
        auto const comma = std::min(text.find(','), text.size());
        auto const next = parse_length(trim(text.substr(0, comma)));
        if (!next || (length && *length != *next))
        {
            return false;
        }
        length = next;
        if (comma == text.size())
        {
            return true;
        }
        text.remove_prefix(comma + 1);
    }
}

} // namespace

std::optional<framing_fault> find_framing_fault(framing_fields const& fields)
{
    if (!fields.codings.empty())
    {
        if (fields.version < http_11)
        {
            return framing_fault::coding_in_http_10;
        }
        if (!fields.lengths.empty())
        {
            return framing_fault::coding_and_length;
        }
        return fields.codings.size() == 1 && is_chunked(fields.codings.front())
                   ? std::nullopt
                   : std::optional{framing_fault::unsupported_coding};
    }
    std::optional<std::uint64_t> length;
    auto const is_valid =
        std::all_of(fields.lengths.begin(), fields.lengths.end(),
                    [&length](view text) { return agrees(text, length); });
    return is_valid ? std::nullopt
                    : std::optional{framing_fault::invalid_length};
}

std::string_view to_text(framing_fault fault)
{
    switch (fault)
    {
    case framing_fault::unsupported_coding:
        return "unsupported_transfer_coding";
    case framing_fault::coding_and_length:
        return "transfer_coding_and_length";
    case framing_fault::coding_in_http_10:
        return "transfer_coding_in_http_1_0";
    case framing_fault::invalid_length:
        break;
    }
    return "invalid_content_length";
}

} // namespace caperpath
