#ifndef CAPERPATH_STAND_IN_RESPONSE_TEXT_HPP
#define CAPERPATH_STAND_IN_RESPONSE_TEXT_HPP

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>

/// The responses of the engine emulator as pure functions of the prompt, so
/// that a test or the load tool can verify that a caller received the complete
/// response to its own request. All functions are thread safe.
namespace caperpath::stand_in
{

/// Returns the text that determines a response: the contents of an OpenAI
/// `messages` array, one per line; for a content in parts, its text parts.
/// Elements that are not messages count as empty.
std::string prompt_text(nlohmann::json const& messages);

/// Returns one token per 4 bytes, rounded up.
std::int64_t prompt_tokens(std::string_view prompt);

/// Returns the number of tokens of the complete response: from 1 to 471 by the
/// prompt's hash (236 on average), or exactly N if the prompt contains
/// "[tokens=N]" with one to six digits.
std::int64_t response_length(std::string_view prompt);

/// Returns token `index` of the response, counted from 0: "w", six hexadecimal
/// digits and a space.
std::string response_token(std::string_view prompt, std::int64_t index);

/// Returns the hash of the prompt that determines all tokens; avoids hashing a
/// long prompt for every token.
std::uint64_t response_seed(std::string_view prompt);

/// As above. @pre `seed` was returned by `response_seed`.
std::string response_token(std::uint64_t seed, std::int64_t index);

/// Returns tokens `first` to `last - 1` as one string.
std::string response_text(std::string_view prompt, std::int64_t first,
                          std::int64_t last);

} // namespace caperpath::stand_in

#endif
