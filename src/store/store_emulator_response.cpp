#include "store/store_emulator_response.hpp"

#include <utility>

namespace caperpath::store
{

namespace
{

void write_rejection(httplib::Response& response, int status,
                     wire::rejection const& why)
{
    response.status = status;
    response.set_content(wire::encode(why), json_type);
}

int status_of(error_kind kind)
{
    switch (kind)
    {
    case error_kind::not_found:
        return 404;
    case error_kind::conflict:
        return 409;
    case error_kind::refused:
        return 429;
    case error_kind::unavailable:
        return 503;
    case error_kind::invalid:
    case error_kind::timeout:
    case error_kind::internal:
        break;
    }
    return 400;
}

} // namespace

void write_rejection(httplib::Response& response, error_kind kind,
                     std::string detail)
{
    write_rejection(response, status_of(kind), {kind, std::move(detail), {}});
}

void write_rejection(httplib::Response& response,
                     std::vector<config::fault> const& faults)
{
    std::string detail;
    for (auto const& fault : faults)
    {
        detail += fault.path + ": " + fault.detail + "\n";
    }
    write_rejection(response, error_kind::invalid, detail);
}

void write_response(httplib::Response& response, commit_result const& outcome)
{
    if (outcome.outcome == commit_outcome::applied)
    {
        response.set_content(wire::encode_applied(), json_type);
        return;
    }
    write_rejection(response, status_of(outcome.fault.kind),
                    {outcome.fault.kind, outcome.fault.detail, outcome.failed});
}

} // namespace caperpath::store
