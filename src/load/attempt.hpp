#ifndef CAPERPATH_SRC_LOAD_ATTEMPT_HPP
#define CAPERPATH_SRC_LOAD_ATTEMPT_HPP

#include "load/answer_reader.hpp"
#include "load/planner.hpp"
#include "load/record.hpp"
#include "load/scenario.hpp"

#include <caperpath/base/clock.hpp>

#include <string>

namespace caperpath::load
{

/// What came back from one router for one try of a request. Immutable value
/// once judged.
struct attempt
{
    int status{}; ///< 0: no answer
    std::string request_id;
    std::string outcome; ///< `Caperpath-Outcome`, empty if not given
    duration retry_after{};
    chat_answer answer;
    std::string code; ///< of a refusal
    ending end{ending::unanswered};

    friend bool operator==(attempt const&, attempt const&) = default;
};

/// Thread safe, pure. How a chat attempt ended, from its status and answer.
ending judge_chat(planned_request const& planned, attempt const& got);

/// Thread safe, pure. True when sending it again may help: no answer, a cut
/// one, 429 or 5xx, and no word that it is complete.
bool may_repeat(attempt const& got);

/// Thread safe, pure. How long to wait before attempt `next` (2 is the first
/// repeat): what the router asked for, at least the growing wait of `retries`,
/// and never above its largest.
duration wait_before(std::int64_t next, duration retry_after,
                     retry_policy const& retries);

/// Thread safe, pure. `so_far` with one more attempt.
record with_attempt(record so_far, attempt const& got);

} // namespace caperpath::load

#endif
