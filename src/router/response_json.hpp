#ifndef CAPERPATH_SRC_ROUTER_RESPONSE_JSON_HPP
#define CAPERPATH_SRC_ROUTER_RESPONSE_JSON_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/config/document.hpp>
#include <caperpath/request/outcome.hpp>
#include <caperpath/request/pricing.hpp>

#include <optional>
#include <string>

namespace caperpath::router
{

/// Fields that all chunks of one response share. Immutable value.
struct response_identity
{
    request_id id;
    model_id model;
    instant created; ///< wall clock

    friend bool operator==(response_identity const&,
                           response_identity const&) = default;
};

/// A complete chat response. Immutable value.
struct complete_response
{
    std::string text;
    std::string finish_reason;
    request::usage used;

    friend bool operator==(complete_response const&,
                           complete_response const&) = default;
};

/// Each returns one server-sent event with its terminator. Thread safe.
std::string role_event(response_identity const& identity);
std::string token_event(response_identity const& identity,
                        std::string const& text);
std::string finish_event(response_identity const& identity,
                         std::string const& finish_reason);
std::string usage_event(response_identity const& identity,
                        request::usage const& used);
std::string error_event(request::rejection const& rejection);
inline constexpr char done_event[] = "data: [DONE]\n\n";

/// Returns a `chat.completion` object. Thread safe.
std::string completion_json(response_identity const& identity,
                            complete_response const& response);

/// Parses a stored `chat.completion` object. Returns empty if `text` is not
/// such an object. Thread safe.
std::optional<complete_response> parse_completion(std::string const& text);

/// Returns the usual error object, extended by the outcome. Thread safe.
std::string error_json(request::rejection const& rejection);

/// Returns the response body of `GET /v1/models`. Thread safe.
std::string models_json(config::document const& document);

} // namespace caperpath::router

#endif
