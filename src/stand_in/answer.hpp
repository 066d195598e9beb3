#ifndef CAPERPATH_STAND_IN_ANSWER_HPP
#define CAPERPATH_STAND_IN_ANSWER_HPP

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>

/// The answers of the stand-in engine as pure functions of the prompt, so that
/// a test or the load tool can prove that a caller got the whole answer to its
/// own request. All functions here are thread safe.
namespace caperpath::stand_in
{

/// The text that an answer depends on: the contents of an OpenAI `messages`
/// array, one a line; of a content in parts, the text parts.
/// @pre none; whatever is not a message counts as empty.
std::string prompt_text(nlohmann::json const& messages);

/// One token for every 4 bytes, rounded up.
std::int64_t prompt_tokens(std::string_view prompt);

/// Tokens of the whole answer: from 1 to 471 by the prompt's hash (236 on
/// average), or exactly N when the prompt holds "[tokens=N]" with one to six
/// digits.
std::int64_t answer_length(std::string_view prompt);

/// Token `index` of the answer, counted from 0: "w", six hexadecimal digits
/// and a space.
std::string answer_token(std::string_view prompt, std::int64_t index);

/// Hash of the prompt that all its tokens follow from; saves hashing a long
/// prompt for every token.
std::uint64_t answer_seed(std::string_view prompt);

/// As above. @pre `seed` comes from `answer_seed`.
std::string answer_token(std::uint64_t seed, std::int64_t index);

/// Tokens `first` to `last - 1` in one string.
std::string answer_text(std::string_view prompt, std::int64_t first,
                        std::int64_t last);

} // namespace caperpath::stand_in

#endif
