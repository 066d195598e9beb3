#include <caperpath/base/error.hpp>

namespace caperpath
{

std::string_view to_string(error_kind kind)
{
    switch (kind)
    {
    case error_kind::invalid:
        return "invalid";
    case error_kind::not_found:
        return "not_found";
    case error_kind::conflict:
        return "conflict";
    case error_kind::refused:
        return "refused";
    case error_kind::unavailable:
        return "unavailable";
    case error_kind::timeout:
        return "timeout";
    case error_kind::internal:
        break;
    }
    return "internal";
}

std::string to_string(error const& fault)
{
    std::string line = "step=" + fault.step;
    if (!fault.peer.empty())
    {
        line += " peer=" + fault.peer;
    }
    line += " kind=";
    line += to_string(fault.kind);
    return line + " " + fault.detail;
}

} // namespace caperpath
