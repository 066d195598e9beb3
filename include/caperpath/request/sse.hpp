#ifndef CAPERPATH_REQUEST_SSE_HPP
#define CAPERPATH_REQUEST_SSE_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace caperpath::request
{

/// Splits the bytes of a server-sent event stream into the `data` of its
/// events, however the bytes are cut into pieces. Not thread safe.
class sse_splitter
{
public:
    /// Longer than any chunk an engine sends; a longer one is a broken stream.
    static constexpr std::size_t max_event_bytes = 256 * 1024;

    /// Returns the data of the events that `piece` completes, in order.
    std::vector<std::string> feed(std::string_view piece);

    /// True once an event was too long; nothing more is returned.
    bool broken() const;

private:
    std::string pending;
    bool too_long{false};
};

} // namespace caperpath::request

#endif
