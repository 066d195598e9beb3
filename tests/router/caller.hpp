#ifndef CAPERPATH_TESTS_ROUTER_CALLER_HPP
#define CAPERPATH_TESTS_ROUTER_CALLER_HPP

#include "stand_in/response_text.hpp"

#include <caperpath/base/clock.hpp>

#include <cstdint>
#include <nlohmann/json.hpp>

#include <string>
#include <utility>
#include <vector>

namespace caperpath::tests
{

/// A response as a caller received it. `text` joins the tokens of a stream or
/// holds the complete text; `done` is true if the stream ended with `[DONE]`.
struct reply
{
    int status{};
    std::string outcome;
    std::string retry_after;
    std::string request_id;
    nlohmann::json body;
    std::string raw; ///< the body's bytes, unless it is a stream
    std::string text;
    std::string finish_reason;
    bool done{false};
    std::string stream_error;
    std::vector<instant> token_times; ///< monotonic, of a stream
};

struct call_options
{
    std::vector<std::pair<std::string, std::string>> headers{};
    bool stream{false};
    int max_tokens{0};                 ///< 0: not given
    std::int64_t disconnect_after{-1}; ///< events received; -1: never
    int timeout_ms{30'000}; ///< read timeout of the caller; then status 0
};

/// Sends one user message to model "asistente".
reply chat(std::string const& router, std::string const& key,
           std::string const& prompt, call_options const& options = {});

/// Sends any body to the chat endpoint.
reply post_chat(std::string const& router, std::string const& key,
                std::string const& body);

/// Sends any request.
reply call(std::string const& router, std::string const& key,
           std::string const& method, std::string const& path,
           std::string const& body = "",
           std::vector<std::pair<std::string, std::string>> const& headers = {},
           int timeout_ms = 30'000);

/// Sends an order of parts, which must not run twice, with an idempotency key.
reply order(std::string const& router, std::string const& key,
            std::string const& idempotency_key,
            std::string const& body = "one battery", int timeout_ms = 30'000);

/// Returns the text with which the engine emulator responds to `prompt`,
/// truncated to `most` tokens.
std::string expected_text(std::string const& prompt,
                          std::int64_t most = 1'000'000);

} // namespace caperpath::tests

#endif
