#ifndef CAPERPATH_REQUEST_CHAT_REQUEST_HPP
#define CAPERPATH_REQUEST_CHAT_REQUEST_HPP

#include <caperpath/base/id.hpp>
#include <caperpath/config/document.hpp>
#include <caperpath/request/outcome.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace caperpath::request
{

/// A validated chat completion request. Immutable value.
struct chat_request
{
    model_id model;
    std::int64_t prompt_bytes{}; ///< a token has at least one byte
    std::int64_t max_tokens{};   ///< limit of completion tokens
    bool stream{false};
    bool include_usage{false};
    std::string upstream_body; ///< JSON for the engine: streamed, with usage

    friend bool operator==(chat_request const&, chat_request const&) = default;
};

/// Thread safe. Parses a body and validates it against the models of
/// `document`; the rejection names the invalid field and costs the caller
/// nothing. `max_tokens` and `max_completion_tokens` are synonyms, in tokens;
/// the default is the model's limit.
std::variant<chat_request, rejection>
parse_chat_request(std::string_view body, config::document const& document);

/// Thread safe. Returns a 400 "invalid_request_error" for the field `param`.
rejection invalid_request(std::string param, std::string message);

} // namespace caperpath::request

#endif
