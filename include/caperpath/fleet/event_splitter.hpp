#ifndef CAPERPATH_FLEET_EVENT_SPLITTER_HPP
#define CAPERPATH_FLEET_EVENT_SPLITTER_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace caperpath::fleet
{

/// Splits the bytes of an event stream (`text/event-stream`) into complete
/// events. A server may stop in the middle of an event; if the first half were
/// forwarded, the caller would join it with the complete event that another
/// server sends. Only complete events are therefore forwarded. Blank lines and
/// comments between events are forwarded with the next one. Not thread safe.
class event_splitter
{
public:
    /// Adds `bytes` and returns the bytes of the events that are now complete,
    /// unchanged and in order.
    std::string feed(std::string_view bytes);

    /// True if the latest event is incomplete.
    bool in_event() const;

    /// The bytes of the incomplete event, and of what precedes it.
    std::size_t pending_bytes() const;

    /// Ends the current response: removes and returns the bytes after its last
    /// complete event. The next bytes are those of another response that
    /// continues the stream.
    std::string take_rest();

    /// The latest id in a complete event; empty if none had one.
    std::string const& last_id() const;

    /// The number of complete events with data so far.
    std::int64_t events() const;

private:
    void skip_byte_order_mark();
    void skip_line_feed();
    bool awaits_lf(std::size_t end) const;
    void add_field(std::string_view line);
    void end_event();

    std::string pending;      ///< not returned yet
    std::size_t line_start{}; ///< of the first incomplete line
    std::size_t searched{};   ///< no line ends between `line_start` and here
    bool after_cr{false};     ///< an LF at `line_start` belongs to a CR
    bool uses_crlf{false};    ///< the latest line with a CR ended with CR LF
    bool at_start{true};      ///< of a response
    bool open{false};         ///< the current event has a field
    bool has_data{false};     ///< of the current event
    std::optional<std::string> new_id; ///< of the current event
    std::string id;
    std::int64_t data_events{};
};

} // namespace caperpath::fleet

#endif
