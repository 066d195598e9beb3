#ifndef CAPERPATH_SRC_LOAD_RECORD_HPP
#define CAPERPATH_SRC_LOAD_RECORD_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace caperpath::load
{

/// Final result of a request.
enum class ending
{
    completed,  ///< the complete response to this request
    refused,    ///< a rejection with its reason
    cut,        ///< only the beginning of the response
    wrong,      ///< text that does not belong to the response
    unanswered, ///< no response
};

/// Returns the lower-case name. Thread safe.
std::string_view to_string(ending kind);

/// One request with all its attempts. Immutable value once recorded.
struct record
{
    std::int64_t index{};
    std::size_t customer{};
    std::string key;        ///< idempotency key
    std::string request_id; ///< set by the router, of the last attempt
    ending end{ending::unanswered};
    int status{};        ///< of the last attempt, 0: no response
    std::string code;    ///< of a rejection
    std::string outcome; ///< as reported: "not-run", "unknown", "completed"
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
