#ifndef CAPERPATH_REQUEST_PRICING_HPP
#define CAPERPATH_REQUEST_PRICING_HPP

#include <caperpath/config/document.hpp>

#include <cstdint>

namespace caperpath::request
{

/// Model tokens that an engine reports for one response. Immutable value.
struct usage
{
    std::int64_t prompt_tokens{};
    std::int64_t completion_tokens{};

    friend bool operator==(usage const&, usage const&) = default;
};

/// Thread safe. Returns the highest possible cost of a request in budget
/// tokens: one token per prompt byte, up to the model's limit, and a response
/// of `max_tokens`. Saturates instead of overflowing.
token_count worst_case(config::model const& model, std::int64_t prompt_bytes,
                       std::int64_t max_tokens);

/// Thread safe. Returns the cost of `used`, at most `reserved`, so that an
/// engine that reports too many tokens never makes the customer overspend.
token_count cost(config::model const& model, usage const& used,
                 token_count reserved);

/// Thread safe. Estimates the prompt tokens at four bytes per token, for
/// requests whose caller disconnected before the engine reported its count.
std::int64_t estimated_prompt_tokens(std::int64_t prompt_bytes);

} // namespace caperpath::request

#endif
