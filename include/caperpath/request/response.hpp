#ifndef CAPERPATH_REQUEST_RESPONSE_HPP
#define CAPERPATH_REQUEST_RESPONSE_HPP

#include <caperpath/base/id.hpp>
#include <caperpath/request/pricing.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace caperpath::request
{

/// One event of an engine's stream, decoded but not yet checked by `accept`.
struct engine_event
{
    enum class kind
    {
        token,    ///< one token of text at `offset`
        finish,   ///< the response ended for `finish_reason`
        usage,    ///< carries the token usage in `used`
        done,     ///< last event of the stream
        malformed ///< not an event of the protocol
    };

    kind type{kind::malformed};
    std::string request; ///< request id in the event, empty if none
    int attempt{};
    std::int64_t offset{};
    std::string text;
    std::string finish_reason;
    usage used;

    friend bool operator==(engine_event const&, engine_event const&) = default;
};

/// Thread safe. Decodes the `data` of one server-sent event; the kind is
/// `malformed` if that fails.
engine_event decode_engine_event(std::string_view data);

/// The part of one response accepted so far, over all its attempts. Immutable
/// value: `accept` returns the next one.
struct response_state
{
    request_id request;
    int attempt{1};
    std::int64_t next_offset{0}; ///< tokens forwarded so far
    std::int64_t max_tokens{};
    std::string finish_reason; ///< empty until the response ended
    std::optional<usage> used;
    bool done{false};

    friend bool operator==(response_state const&,
                           response_state const&) = default;
};

enum class acceptance
{
    pass,     ///< forward to the caller
    ignore,   ///< contains nothing for the caller
    truncate, ///< the response reached `max_tokens`: stop
    broken    ///< wrong exchange or out of order: close the connection
};

struct accept_result
{
    response_state state;
    acceptance verdict{acceptance::broken};
};

/// Thread safe, pure. Checks that an event belongs to this request and attempt
/// and is the next in order. Any other event is `broken` and never forwarded.
accept_result accept(response_state const& state, engine_event const& event);

/// Thread safe, pure. Returns the state for the next attempt, which resumes at
/// `next_offset`.
response_state next_attempt(response_state const& state);

} // namespace caperpath::request

#endif
