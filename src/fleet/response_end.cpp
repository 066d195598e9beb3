#include <caperpath/fleet/response_end.hpp>

namespace caperpath::fleet
{

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
