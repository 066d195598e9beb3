#include <caperpath/fleet/prompt_part.hpp>

#include <array>
#include <charconv>

namespace caperpath::fleet
{

std::string to_string(prompt_part part)
{
    constexpr int hex_base = 16;
    std::array<char, 2 * sizeof part> text{};
    auto const end = std::to_chars(text.data(), text.data() + text.size(),
                                   static_cast<std::uint64_t>(part), hex_base)
                         .ptr;
    return {text.data(), end};
}

} // namespace caperpath::fleet
