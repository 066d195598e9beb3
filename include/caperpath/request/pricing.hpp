#ifndef CAPERPATH_REQUEST_PRICING_HPP
#define CAPERPATH_REQUEST_PRICING_HPP

#include <caperpath/config/document.hpp>

#include <cstdint>

namespace caperpath::request
{

/// Model tokens that an engine reports for one answer. Immutable value.
struct usage
{
    std::int64_t prompt_tokens{};
    std::int64_t completion_tokens{};

    friend bool operator==(usage const&, usage const&) = default;
};

/// Thread safe. The most a request can cost, in budget tokens: every byte of
/// the prompt may be a token (but never more than the model accepts) and the
/// answer may be as long as allowed. Saturates instead of overflowing.
token_count worst_case(config::model const& model, std::int64_t prompt_bytes,
                       std::int64_t max_tokens);

/// Thread safe. What `used` costs, at most `reserved`: an engine that reports
/// more than it was allowed never makes the customer overspend.
token_count cost(config::model const& model, usage const& used,
                 token_count reserved);

/// Thread safe. Prompt tokens when no engine has counted them yet, which
/// happens when a caller leaves before the end: four bytes a token.
std::int64_t estimated_prompt_tokens(std::int64_t prompt_bytes);

} // namespace caperpath::request

#endif
