#include "load/attempt.hpp"

#include <algorithm>
#include <utility>

namespace caperpath::load
{

namespace
{

constexpr int too_many_requests = 429;
constexpr int first_server_error = 500;
constexpr std::int64_t max_doublings = 20;

bool is_success(int status)
{
    return status >= 200 && status < 300;
}

} // namespace

std::string_view to_string(ending kind)
{
    switch (kind)
    {
    case ending::completed:
        return "completed";
    case ending::refused:
        return "refused";
    case ending::cut:
        return "cut";
    case ending::wrong:
        return "wrong";
    case ending::unanswered:
        break;
    }
    return "unanswered";
}

ending classify_chat(planned_request const& planned, attempt const& received)
{
    if (received.status == 0)
    {
        return ending::unanswered;
    }
    if (!is_success(received.status))
    {
        return ending::refused;
    }
    switch (check_response(planned.prompt, planned.max_tokens, received.answer))
    {
    case verdict::complete:
        return ending::completed;
    case verdict::wrong:
        return ending::wrong;
    case verdict::cut:
        break;
    }
    return ending::cut;
}

bool may_retry(attempt const& received)
{
    switch (received.end)
    {
    case ending::completed:
    case ending::wrong:
        return false;
    case ending::cut:
    case ending::unanswered:
        return true;
    case ending::refused:
        break;
    }
    auto const transient = received.status == too_many_requests ||
                           received.status >= first_server_error;
    return transient && received.outcome != "completed";
}

duration backoff_before(std::int64_t next, duration retry_after,
                        retry_policy const& retries)
{
    auto const doublings = std::clamp<std::int64_t>(next - 2, 0, max_doublings);
    duration const grown{retries.first_wait.ms << doublings};
    return std::min(std::max(grown, retry_after), retries.max_wait);
}

record with_attempt(record so_far, attempt const& received)
{
    ++so_far.attempts;
    so_far.cut_attempts += received.end == ending::cut ? 1 : 0;
    so_far.end = received.end;
    so_far.status = received.status;
    so_far.code = received.code;
    so_far.outcome = received.outcome;
    if (received.end == ending::completed)
    {
        so_far.outcome = "completed";
    }
    if (!received.request_id.empty())
    {
        so_far.request_id = received.request_id;
    }
    so_far.prompt_tokens = received.answer.prompt_tokens;
    so_far.completion_tokens = received.answer.completion_tokens;
    so_far.gap_us = received.answer.gap_us;
    if (so_far.first_token_us < 0)
    {
        so_far.first_token_us = received.answer.first_token_us;
    }
    return so_far;
}

} // namespace caperpath::load
