#ifndef CAPERPATH_FLEET_EVENT_SPLITTER_HPP
#define CAPERPATH_FLEET_EVENT_SPLITTER_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace caperpath::fleet
{

/// Splits the bytes of an event stream into complete events. A server may stop
/// in the middle of an event; if the first half were forwarded, the caller
/// would join it with the complete event that another server sends. Only
/// complete events are therefore forwarded. Not thread safe.
class event_splitter
{
public:
    /// Adds `bytes` and returns the bytes of the events that are now complete,
    /// unchanged and in order.
    std::string feed(std::string_view bytes);

    /// True if the latest event is incomplete.
    bool in_event() const;

    /// Removes and returns the bytes of the incomplete event.
    std::string take_rest();

    /// The latest id in a complete event; empty if none had one.
    std::string const& last_id() const;

    /// The number of complete events with data so far.
    std::int64_t events() const;

private:
    void parse_event(std::string_view event);

    std::string pending;
    std::string id;
    std::int64_t data_events{};
};

} // namespace caperpath::fleet

#endif
