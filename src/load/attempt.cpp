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

ending judge_chat(planned_request const& planned, attempt const& got)
{
    if (got.status == 0)
    {
        return ending::unanswered;
    }
    if (!is_success(got.status))
    {
        return ending::refused;
    }
    switch (judge(planned.prompt, planned.max_tokens, got.answer))
    {
    case verdict::whole:
        return ending::completed;
    case verdict::wrong:
        return ending::wrong;
    case verdict::cut:
        break;
    }
    return ending::cut;
}

bool may_repeat(attempt const& got)
{
    switch (got.end)
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
    auto const passing =
        got.status == too_many_requests || got.status >= first_server_error;
    return passing && got.outcome != "completed";
}

duration wait_before(std::int64_t next, duration retry_after,
                     retry_policy const& retries)
{
    auto const doublings = std::clamp<std::int64_t>(next - 2, 0, max_doublings);
    duration const grown{retries.first_wait.ms << doublings};
    return std::min(std::max(grown, retry_after), retries.most_wait);
}

record with_attempt(record so_far, attempt const& got)
{
    ++so_far.attempts;
    so_far.cut_attempts += got.end == ending::cut ? 1 : 0;
    so_far.end = got.end;
    so_far.status = got.status;
    so_far.code = got.code;
    so_far.outcome = got.outcome;
    if (got.end == ending::completed)
    {
        so_far.outcome = "completed";
    }
    if (!got.request_id.empty())
    {
        so_far.request_id = got.request_id;
    }
    so_far.prompt_tokens = got.answer.prompt_tokens;
    so_far.completion_tokens = got.answer.completion_tokens;
    so_far.gap_us = got.answer.gap_us;
    if (so_far.first_token_us < 0)
    {
        so_far.first_token_us = got.answer.first_token_us;
    }
    return so_far;
}

} // namespace caperpath::load
