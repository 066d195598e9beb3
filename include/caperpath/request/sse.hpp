#ifndef CAPERPATH_REQUEST_SSE_HPP
#define CAPERPATH_REQUEST_SSE_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace caperpath::request
{

/// Splits a server-sent event stream, received in pieces of any size, into the
/// `data` of its events. Not thread safe.
class sse_splitter
{
public:
    /// Exceeds the longest event of an engine; a longer one breaks the stream.
    static constexpr std::size_t max_event_bytes = 256 * 1024;

    /// Returns the data of the events that `piece` completes, in order.
    std::vector<std::string> feed(std::string_view piece);

    /// True once an event exceeded `max_event_bytes`; `feed` then returns
    /// nothing.
    bool broken() const;

private:
    std::string pending;
    bool too_long{false};
};

} // namespace caperpath::request

#endif
