#include "stand_in/response_text.hpp"

#include <nlohmann/json.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <charconv>
#include <cstdio>

namespace caperpath::stand_in
{

namespace
{

constexpr std::int64_t bytes_per_token = 4;
constexpr std::int64_t max_response_tokens =
    471; // mean 236, as in users' traffic
constexpr std::string_view length_mark = "[tokens=";
constexpr std::size_t length_digits = 6;
constexpr std::uint64_t token_mask = 0xffffff;

void append_content(std::string& text, nlohmann::json const& content)
{
    if (content.is_string())
    {
        text += content.get_ref<std::string const&>();
    }
    else if (content.is_array())
    {
        for (auto const& part : content)
        {
            if (part.is_object() && part.contains("text"))
            {
                append_content(text, part.at("text"));
            }
        }
    }
}

// Returns -1 if the prompt requests no length.
std::int64_t requested_length(std::string_view prompt)
{
    auto const mark = prompt.find(length_mark);
    if (mark == std::string_view::npos)
    {
        return -1;
    }
    auto const digits = prompt.substr(mark + length_mark.size());
    auto const end = digits.find(']');
    if (end == std::string_view::npos || end == 0 || end > length_digits)
    {
        return -1;
    }
    std::int64_t length = 0;
    auto const* last = digits.data() + end;
    auto const parsed = std::from_chars(digits.data(), last, length);
    auto const complete = parsed.ec == std::errc{} && parsed.ptr == last;
    return complete && length >= 0 ? length : -1;
}

} // namespace

std::string prompt_text(nlohmann::json const& messages)
{
    std::string text;
    if (!messages.is_array())
    {
        return text;
    }
    for (auto const& message : messages)
    {
        if (message.is_object() && message.contains("content"))
        {
            append_content(text, message.at("content"));
        }
        text += '\n';
    }
    return text;
}

std::int64_t prompt_tokens(std::string_view prompt)
{
    auto const bytes = static_cast<std::int64_t>(prompt.size());
    return (bytes + bytes_per_token - 1) / bytes_per_token;
}

std::int64_t response_length(std::string_view prompt)
{
    auto const requested = requested_length(prompt);
    if (requested >= 0)
    {
        return requested;
    }
    return 1 + static_cast<std::int64_t>(response_seed(prompt) %
                                         max_response_tokens);
}

std::uint64_t response_seed(std::string_view prompt)
{
    return XXH3_64bits(prompt.data(), prompt.size());
}

std::string response_token(std::string_view prompt, std::int64_t index)
{
    return response_token(response_seed(prompt), index);
}

std::string response_token(std::uint64_t seed, std::int64_t index)
{
    auto const hash = XXH3_64bits_withSeed(&index, sizeof(index), seed);
    std::array<char, 16> text{};
    auto const size =
        std::snprintf(text.data(), text.size(), "w%06x ",
                      static_cast<unsigned int>(hash & token_mask));
    return {text.data(), static_cast<std::size_t>(size)};
}

std::string response_text(std::string_view prompt, std::int64_t first,
                          std::int64_t last)
{
    auto const seed = response_seed(prompt);
    std::string text;
    for (auto index = first; index < last; ++index)
    {
        text += response_token(seed, index);
    }
    return text;
}

} // namespace caperpath::stand_in
