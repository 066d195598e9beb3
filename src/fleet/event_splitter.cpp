#include <caperpath/fleet/event_splitter.hpp>

#include <algorithm>
#include <utility>

namespace caperpath::fleet
{

namespace
{

constexpr std::string_view id_field = "id";
constexpr std::string_view data_field = "data";
/// Usual events are shorter; space of a longer one is freed behind it.
constexpr std::size_t max_kept_capacity = 16'384;
constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";

} // namespace

std::string event_splitter::feed(std::string_view bytes)
{
    this->pending += bytes;
    this->skip_byte_order_mark();
    std::size_t complete = 0;
    while (true)
    {
        this->skip_line_feed();
        auto const from = std::max(this->searched, this->line_start);
        auto const end = this->pending.find_first_of("\r\n", from);
        this->searched = std::min(end, this->pending.size());
        auto const line = std::string_view{this->pending}.substr(
            this->line_start, this->searched - this->line_start);
        auto const ends_event = line.empty() && this->open;
        if (end == std::string::npos || (ends_event && this->awaits_lf(end)))
        {
            break;
        }
        this->after_cr = this->pending[end] == '\r';
        this->line_start = end + 1;
        if (!line.empty())
        {
            this->add_field(line);
        }
        if (ends_event)
        {
            this->end_event();
            this->skip_line_feed();
            complete = this->line_start;
        }
    }
    auto events = this->pending.substr(0, complete);
    this->pending.erase(0, complete);
    if (this->pending.capacity() > max_kept_capacity &&
        this->pending.size() < max_kept_capacity)
    {
        this->pending.shrink_to_fit();
    }
    this->line_start -= complete;
    this->searched -= complete;
    return events;
}

/// A CR or a CR LF ends a line, and the two may arrive apart.
void event_splitter::skip_line_feed()
{
    if (this->after_cr && this->line_start < this->pending.size())
    {
        this->uses_crlf = this->pending[this->line_start] == '\n';
        this->line_start += this->uses_crlf ? 1 : 0;
        this->after_cr = false;
    }
}

/// True if the CR at `end` is the last byte so far, in lines that end with CR
/// LF.
bool event_splitter::awaits_lf(std::size_t end) const
{
    return this->uses_crlf && this->pending[end] == '\r' &&
           end + 1 == this->pending.size();
}

/// A response may begin with a byte order mark, which belongs to no line.
/// Within a stream that another response began it would be part of an event.
void event_splitter::skip_byte_order_mark()
{
    if (!this->at_start || this->pending.size() < byte_order_mark.size())
    {
        return;
    }
    this->at_start = false;
    if (!this->pending.starts_with(byte_order_mark))
    {
        return;
    }
    if (this->data_events > 0)
    {
        this->pending.erase(0, byte_order_mark.size());
        this->searched = 0;
        return;
    }
    this->line_start = byte_order_mark.size();
}

bool event_splitter::in_event() const
{
    return this->open || this->line_start < this->pending.size();
}

std::size_t event_splitter::pending_bytes() const
{
    return this->pending.size();
}

std::string event_splitter::take_rest()
{
    this->line_start = 0;
    this->searched = 0;
    this->after_cr = false;
    this->uses_crlf = false;
    this->at_start = true;
    this->open = false;
    this->has_data = false;
    this->new_id.reset();
    return std::exchange(this->pending, {});
}

std::string const& event_splitter::last_id() const
{
    return this->id;
}

std::int64_t event_splitter::events() const
{
    return this->data_events;
}

void event_splitter::add_field(std::string_view line)
{
    if (line.starts_with(':'))
    {
        return; // a comment
    }
    this->open = true;
    auto const name = line.substr(0, line.find(':'));
    auto value = line.substr(std::min(name.size() + 1, line.size()));
    value.remove_prefix(value.starts_with(' ') ? 1 : 0);
    this->has_data = this->has_data || name == data_field;
    if (name == id_field)
    {
        this->new_id = value;
    }
}

void event_splitter::end_event()
{
    this->data_events += this->has_data ? 1 : 0;
    if (this->new_id)
    {
        this->id = std::move(*this->new_id);
    }
    this->open = false;
    this->has_data = false;
    this->new_id.reset();
}

} // namespace caperpath::fleet
