#include <caperpath/request/pricing.hpp>

#include <algorithm>
#include <limits>

namespace caperpath::request
{

namespace
{

token_count saturating_cost(config::model const& model, usage const& used)
{
    token_count prompt = 0;
    token_count completion = 0;
    token_count total = 0;
    bool const overflow =
        __builtin_mul_overflow(model.prompt_price, used.prompt_tokens,
                               &prompt) ||
        __builtin_mul_overflow(model.completion_price, used.completion_tokens,
                               &completion) ||
        __builtin_add_overflow(prompt, completion, &total);
    return overflow ? std::numeric_limits<token_count>::max() : total;
}

} // namespace

token_count worst_case(config::model const& model, std::int64_t prompt_bytes,
                       std::int64_t max_tokens)
{
    auto const prompt = std::min(prompt_bytes, model.max_prompt_tokens);
    return saturating_cost(model, {prompt, max_tokens});
}

token_count cost(config::model const& model, usage const& used,
                 token_count reserved)
{
    usage const counted{std::max<std::int64_t>(used.prompt_tokens, 0),
                        std::max<std::int64_t>(used.completion_tokens, 0)};
    return std::min(saturating_cost(model, counted), reserved);
}

std::int64_t estimated_prompt_tokens(std::int64_t prompt_bytes)
{
    constexpr std::int64_t bytes_per_token = 4;
    return (prompt_bytes + bytes_per_token - 1) / bytes_per_token;
}

} // namespace caperpath::request
