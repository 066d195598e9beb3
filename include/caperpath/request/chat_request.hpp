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

/// A checked chat completion request. Immutable value.
struct chat_request
{
    model_id model;
    std::int64_t prompt_bytes{}; ///< a token is at least one byte
    std::int64_t max_tokens{};   ///< completion tokens the caller accepts
    bool stream{false};
    bool include_usage{false};
    std::string upstream_body; ///< JSON for the engine: streamed, with usage

    friend bool operator==(chat_request const&, chat_request const&) = default;
};

/// Thread safe. Parses and checks a body against the models of `document`; the
/// refusal names the field at fault and costs the caller nothing. Numbers are
/// tokens; `max_tokens` and `max_completion_tokens` mean the same, and the
/// model's limit stands in when neither is given.
std::variant<chat_request, refusal>
parse_chat_request(std::string_view body, config::document const& document);

/// Thread safe. A 400 "invalid_request_error" that blames `param`.
refusal invalid_request(std::string param, std::string message);

} // namespace caperpath::request

#endif
