#ifndef CAPERPATH_SRC_ROUTER_ANSWER_JSON_HPP
#define CAPERPATH_SRC_ROUTER_ANSWER_JSON_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/config/document.hpp>
#include <caperpath/request/outcome.hpp>
#include <caperpath/request/pricing.hpp>

#include <optional>
#include <string>

namespace caperpath::router
{

/// What all chunks of one answer share. Immutable value.
struct answer_identity
{
    request_id id;
    model_id model;
    instant created; ///< wall clock

    friend bool operator==(answer_identity const&,
                           answer_identity const&) = default;
};

/// A chat answer as a whole. Immutable value.
struct whole_answer
{
    std::string text;
    std::string finish_reason;
    request::usage used;

    friend bool operator==(whole_answer const&, whole_answer const&) = default;
};

/// Thread safe. Each gives one server-sent event with its end.
std::string role_event(answer_identity const& identity);
std::string token_event(answer_identity const& identity,
                        std::string const& text);
std::string finish_event(answer_identity const& identity,
                         std::string const& finish_reason);
std::string usage_event(answer_identity const& identity,
                        request::usage const& used);
std::string error_event(request::refusal const& refusal);
inline constexpr char done_event[] = "data: [DONE]\n\n";

/// Thread safe. A `chat.completion` object.
std::string completion_json(answer_identity const& identity,
                            whole_answer const& answer);

/// Thread safe. The inverse, for an answer that was kept; nothing when `text`
/// is not such an object.
std::optional<whole_answer> parse_completion(std::string const& text);

/// Thread safe. The usual error object with the outcome beside it.
std::string error_json(request::refusal const& refusal);

/// Thread safe. The answer of `GET /v1/models`.
std::string models_json(config::document const& document);

} // namespace caperpath::router

#endif
