#include "stand_in/replies.hpp"

#include <nlohmann/json.hpp>

namespace caperpath::stand_in
{

namespace
{

constexpr char const* retry_after_seconds = "1";

} // namespace

void reply_json(httplib::Response& response, int status,
                nlohmann::json const& body)
{
    response.status = status;
    // A request may contain bytes that are not UTF-8. A response that echoes
    // them must not throw after the work was done.
    constexpr auto replace = nlohmann::json::error_handler_t::replace;
    response.set_content(body.dump(-1, ' ', false, replace),
                         "application/json");
}

void reply_error(httplib::Response& response, int status, std::string_view type,
                 std::string_view message)
{
    reply_json(
        response, status,
        {{"error", {{"type", type}, {"message", message}, {"code", nullptr}}}});
}

void reply_faults(httplib::Response& response,
                  std::vector<config::fault> const& faults)
{
    std::string message;
    for (auto const& fault : faults)
    {
        message += message.empty() ? "" : "; ";
        message += fault.path + ": " + fault.detail;
    }
    reply_error(response, 400, "invalid_request_error", message);
}

void reply_not_run(httplib::Response& response, std::string_view message)
{
    reply_error(response, 503, "overloaded_error", message);
    response.set_header("Caperpath-Not-Run", "true");
    response.set_header("Retry-After", retry_after_seconds);
}

nlohmann::json parse_body(httplib::Request const& request)
{
    auto body = nlohmann::json::parse(request.body, nullptr, false);
    return body.is_discarded() ? nlohmann::json{} : body;
}

} // namespace caperpath::stand_in
