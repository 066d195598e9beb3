#include <caperpath/fleet/event_splitter.hpp>

#include <algorithm>
#include <utility>

namespace caperpath::fleet
{

namespace
{

constexpr std::string_view id_field = "id:";
constexpr std::string_view data_field = "data";

/// The end of the first event in `text`, or npos; the search begins at `from`.
/// An event ends with an empty line, and lines end with LF or CR LF.
std::size_t event_end(std::string_view text, std::size_t from)
{
    for (auto at = text.find('\n', from); at != std::string_view::npos;
         at = text.find('\n', at + 1))
    {
        if (text.substr(at + 1).starts_with('\n'))
        {
            return at + 2;
        }
        if (text.substr(at + 1).starts_with("\r\n"))
        {
            return at + 3;
        }
    }
    return std::string_view::npos;
}

} // namespace

std::string event_splitter::feed(std::string_view bytes)
{
    // The end of an event may begin in the last three old bytes.
    constexpr std::size_t max_end_overlap = 3;
    auto const seen = this->pending.size();
    auto from = seen - std::min(seen, max_end_overlap);
    this->pending += bytes;
    std::size_t complete = 0;
    for (auto end = event_end(this->pending, from);
         end != std::string_view::npos; end = event_end(this->pending, end))
    {
        this->parse_event(
            std::string_view{this->pending}.substr(complete, end - complete));
        complete = end;
    }
    auto events = this->pending.substr(0, complete);
    this->pending.erase(0, complete);
    return events;
}

std::string event_splitter::take_rest()
{
    return std::exchange(this->pending, {});
}

bool event_splitter::in_event() const
{
    return !this->pending.empty();
}

std::string const& event_splitter::last_id() const
{
    return this->id;
}

std::int64_t event_splitter::events() const
{
    return this->data_events;
}

void event_splitter::parse_event(std::string_view event)
{
    auto has_data = false;
    while (!event.empty())
    {
        auto const end = std::min(event.find('\n'), event.size());
        auto line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (line.ends_with('\r'))
        {
            line.remove_suffix(1);
        }
        has_data = has_data || line.starts_with(data_field);
        if (line.starts_with(id_field))
        {
            line.remove_prefix(id_field.size());
            this->id = line.starts_with(' ') ? line.substr(1) : line;
        }
    }
    this->data_events += has_data ? 1 : 0;
}

} // namespace caperpath::fleet
