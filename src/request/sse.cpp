#include <caperpath/request/sse.hpp>

#include <utility>

namespace caperpath::request
{

namespace
{

constexpr std::string_view data_field = "data:";

// Joins the `data` lines of one event with newlines, as the SSE format
// requires.
std::string event_data(std::string_view event)
{
    std::string data;
    bool first = true;
    while (!event.empty())
    {
        auto const end = event.find('\n');
        auto line = event.substr(0, end);
        event = end == std::string_view::npos ? std::string_view{}
                                              : event.substr(end + 1);
        if (line.ends_with('\r'))
        {
            line.remove_suffix(1);
        }
        if (!line.starts_with(data_field))
        {
            continue;
        }
        line.remove_prefix(data_field.size());
        if (line.starts_with(' '))
        {
            line.remove_prefix(1);
        }
        data += first ? "" : "\n";
        data += line;
        first = false;
    }
    return data;
}

// Returns the end of the event that starts at `from` and the start of the next.
std::pair<std::size_t, std::size_t> find_end(std::string_view text,
                                             std::size_t from)
{
    for (auto at = text.find('\n', from); at != std::string_view::npos;
         at = text.find('\n', at + 1))
    {
        if (text.substr(at + 1, 1) == "\n")
        {
            return {at, at + 2};
        }
        if (text.substr(at + 1, 2) == "\r\n")
        {
            return {at, at + 3};
        }
    }
    return {std::string_view::npos, std::string_view::npos};
}

} // namespace

std::vector<std::string> sse_splitter::feed(std::string_view piece)
{
    std::vector<std::string> events;
    if (this->too_long)
    {
        return events;
    }
    this->pending += piece;
    std::size_t start = 0;
    while (true)
    {
        auto const [end, next] = find_end(this->pending, start);
        if (end == std::string::npos)
        {
            break;
        }
        auto data = event_data(
            std::string_view{this->pending}.substr(start, end - start));
        if (!data.empty())
        {
            events.push_back(std::move(data));
        }
        start = next;
    }
    this->pending.erase(0, start);
    this->too_long = this->pending.size() > max_event_bytes;
    return events;
}

bool sse_splitter::broken() const
{
    return this->too_long;
}

} // namespace caperpath::request
