#ifndef CAPERPATH_FLEET_EVENT_SCAN_HPP
#define CAPERPATH_FLEET_EVENT_SCAN_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace caperpath::fleet
{

/// Cuts the bytes of an event stream into whole events. A server may stop in
/// the middle of an event; passed on, its first half would be joined with the
/// whole one that another server sends, and the caller would read a mixed
/// event. So only whole events are passed on. Not thread safe.
class event_scan
{
public:
    /// Takes the next bytes and returns those of the events that are whole now,
    /// unchanged and in order.
    std::string feed(std::string_view bytes);

    /// What was left of an event without its end; empties it.
    std::string take_rest();

    /// The id of the last whole event; empty if none had one.
    std::string const& last_id() const;

    /// Whole events so far that carried data.
    std::int64_t events() const;

private:
    void note(std::string_view event);

    std::string pending;
    std::string id;
    std::int64_t count{};
};

} // namespace caperpath::fleet

#endif
