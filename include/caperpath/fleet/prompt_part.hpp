#ifndef CAPERPATH_FLEET_PROMPT_PART_HPP
#define CAPERPATH_FLEET_PROMPT_PART_HPP

#include <cstdint>
#include <string>

namespace caperpath::fleet
{

/// Identifies a part of a prompt that several requests share. Callers state it,
/// so it proves nothing about the content. Immutable value.
enum class prompt_part : std::uint64_t
{
};

/// In hexadecimal, as callers write it. Thread safe.
std::string to_string(prompt_part part);

} // namespace caperpath::fleet

#endif
