#ifndef CAPERPATH_SRC_LOAD_ATTEMPT_HPP
#define CAPERPATH_SRC_LOAD_ATTEMPT_HPP

#include "load/planner.hpp"
#include "load/record.hpp"
#include "load/response_reader.hpp"
#include "load/scenario.hpp"

#include <caperpath/base/clock.hpp>

#include <string>

namespace caperpath::load
{

/// Result of one attempt of a request at one router. Immutable once `end` is
/// set.
struct attempt
{
    int status{}; ///< 0: no response
    std::string request_id;
    std::string outcome; ///< `Caperpath-Outcome`, empty if not given
    duration retry_after{};
    received_response answer;
    std::string code; ///< of a rejection
    ending end{ending::unanswered};

    friend bool operator==(attempt const&, attempt const&) = default;
};

/// Returns how a chat attempt ended, from its status and response. Thread safe,
/// pure.
ending classify_chat(planned_request const& planned, attempt const& received);

/// Returns true if a retry may help: after no response, a cut response, or a
/// 429 or 5xx whose outcome is not "completed". Thread safe, pure.
bool may_retry(attempt const& received);

/// Returns the backoff before attempt `next` (2 is the first retry): the larger
/// of `retry_after` and the exponential backoff of `retries`, up to the maximum
/// of `retries`. Thread safe, pure.
duration backoff_before(std::int64_t next, duration retry_after,
                        retry_policy const& retries);

/// Returns `so_far` with one more attempt. Thread safe, pure.
record with_attempt(record so_far, attempt const& received);

} // namespace caperpath::load

#endif
