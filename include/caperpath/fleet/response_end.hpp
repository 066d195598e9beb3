#ifndef CAPERPATH_FLEET_RESPONSE_END_HPP
#define CAPERPATH_FLEET_RESPONSE_END_HPP

#include <string_view>

/// Decides whether a response whose connection has ended is complete. Pure
/// functions.
namespace caperpath::fleet
{

/// What delimits the body of a response.
enum class body_framing
{
    length,
    chunks,
    connection ///< neither: the body ends with its connection
};

/// What is known of a body that has ended by its framing.
enum class body_end
{
    complete,
    truncated, ///< the server broke it off
    unproven   ///< complete, unless the server crashed at this moment
};

/// What the events of a body show.
struct event_state
{
    bool declared{false}; ///< the response says that it is an event stream
    bool in_event{false}; ///< the last event is incomplete

    friend bool operator==(event_state const&, event_state const&) = default;
};

/// A body that is not declared to consist of events may end anywhere if its
/// framing is complete. Thread safe.
body_end judge_end(body_framing framing, event_state const& events);

/// A single word, for logs. Thread safe.
std::string_view to_text(body_framing framing);

} // namespace caperpath::fleet

#endif
