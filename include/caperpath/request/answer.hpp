#ifndef CAPERPATH_REQUEST_ANSWER_HPP
#define CAPERPATH_REQUEST_ANSWER_HPP

#include <caperpath/base/id.hpp>
#include <caperpath/request/pricing.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace caperpath::request
{

/// What one event of an engine's stream says, decoded but not yet trusted.
struct engine_event
{
    enum class kind
    {
        token,   ///< one token of text at `offset`
        finish,  ///< the answer ended; `finish_reason` says why
        counted, ///< `used` was reported
        done,    ///< the stream's last event
        garbled  ///< not an event of the protocol
    };

    kind what{kind::garbled};
    std::string request; ///< id the engine names, empty if none
    int attempt{};
    std::int64_t offset{};
    std::string text;
    std::string finish_reason;
    usage used;

    friend bool operator==(engine_event const&, engine_event const&) = default;
};

/// Thread safe. Decodes the `data` of one server-sent event.
engine_event decode_engine_event(std::string_view data);

/// What has been accepted of one answer, over all its attempts. Immutable
/// value: `accept` returns the next one.
struct answer_state
{
    request_id request;
    int attempt{1};
    std::int64_t next_offset{0}; ///< tokens passed on so far
    std::int64_t max_tokens{};
    std::string finish_reason; ///< empty until the answer ended
    std::optional<usage> used;
    bool done{false};

    friend bool operator==(answer_state const&, answer_state const&) = default;
};

enum class acceptance
{
    pass,   ///< give it to the caller
    ignore, ///< nothing for the caller in it
    cut,    ///< the answer reached the length that was paid for; stop here
    broken  ///< not of this exchange or out of order: close the connection
};

struct accepted
{
    answer_state state;
    acceptance verdict{acceptance::broken};
};

/// Thread safe, pure. Whether an event belongs to this request and attempt and
/// comes next in order. Anything else is never passed on.
accepted accept(answer_state const& state, engine_event const& event);

/// Thread safe, pure. The state for the next attempt, which resumes at
/// `next_offset`.
answer_state next_attempt(answer_state const& state);

} // namespace caperpath::request

#endif
