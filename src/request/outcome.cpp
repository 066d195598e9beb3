#include <caperpath/request/outcome.hpp>

namespace caperpath::request
{

std::string_view to_string(outcome kind)
{
    switch (kind)
    {
    case outcome::not_run:
        return "not-run";
    case outcome::completed:
        return "completed";
    case outcome::unknown:
        break;
    }
    return "unknown";
}

} // namespace caperpath::request
