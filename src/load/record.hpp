#ifndef CAPERPATH_SRC_LOAD_RECORD_HPP
#define CAPERPATH_SRC_LOAD_RECORD_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace caperpath::load
{

/// What a caller got in the end.
enum class ending
{
    completed,  ///< the whole answer to its own request
    refused,    ///< an answer that says why not
    cut,        ///< part of its answer, then nothing
    wrong,      ///< text that is not part of the answer to this request
    unanswered, ///< no answer at all
};

/// Thread safe. The lower-case name.
std::string_view to_string(ending kind);

/// One request with all its attempts. Immutable value once recorded.
struct record
{
    std::int64_t index{};
    std::size_t customer{};
    std::string key;        ///< idempotency key
    std::string request_id; ///< as the router named it, of the last attempt
    ending end{ending::unanswered};
    int status{};        ///< of the last attempt, 0: none came
    std::string code;    ///< of a refusal
    std::string outcome; ///< as told: "not-run", "unknown", "completed"
    std::int64_t attempts{};
    std::int64_t cut_attempts{}; ///< attempts whose stream ended early
    std::int64_t prompt_tokens{};
    std::int64_t completion_tokens{};
    std::int64_t start_lag_us{};      ///< the tool's own delay at the start
    std::int64_t first_token_us{-1};  ///< from the intended start, -1: none
    std::int64_t total_us{};          ///< from the intended start
    std::vector<std::int64_t> gap_us; ///< between tokens of the last attempt

    friend bool operator==(record const&, record const&) = default;
};

} // namespace caperpath::load

#endif
