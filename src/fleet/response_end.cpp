#include <caperpath/fleet/response_end.hpp>

namespace caperpath::fleet
{

body_end judge_end(body_framing framing, event_state const& events)
{
    auto const framed = framing != body_framing::connection;
    if (events.in_event && (events.declared || !framed))
    {
        return body_end::truncated;
    }
    return framed ? body_end::complete : body_end::unproven;
}

std::string_view to_text(body_framing framing)
{
    switch (framing)
    {
    case body_framing::length:
        return "length";
    case body_framing::chunks:
        return "chunks";
    case body_framing::connection:
        break;
    }
    return "connection";
}

} // namespace caperpath::fleet
