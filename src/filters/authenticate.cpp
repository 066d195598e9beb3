#include "filters/request_filters.hpp"

#include <caperpath/base/http_status.hpp>
#include <caperpath/config/keys.hpp>

#include <string_view>

namespace caperpath::filters
{

namespace
{

constexpr std::string_view bearer_prefix = "Bearer ";

std::optional<request::rejection> enter(context& request)
{
    request.document = request.shared.configuration();
    if (request.document == nullptr)
    {
        // A request with a key may be a retry of one that ran elsewhere.
        auto const kind = request.in.idempotency_key.empty()
                              ? request::outcome::not_run
                              : request::outcome::unknown;
        return request::rejection{http_unavailable,
                                  kind,
                                  {1'000},
                                  "server_error",
                                  "not_ready",
                                  "",
                                  "no configuration has been read yet"};
    }
    request.deadline =
        request.received + request.document->routing.request_timeout;
    std::string_view given = request.in.authorization;
    std::optional<customer_id> found;
    if (given.starts_with(bearer_prefix))
    {
        given.remove_prefix(bearer_prefix.size());
        found = config::find_customer(*request.document, given);
    }
    if (!found)
    {
        return request::rejection{http_unauthorized,
                                  request::outcome::not_run,
                                  {},
                                  "authentication_error",
                                  "invalid_api_key",
                                  "Authorization",
                                  "expected \"Bearer KEY\" with a valid key"};
    }
    request.customer = *found;
    request.customer_settings = &request.document->customers.at(*found);
    return std::nullopt;
}

void leave(context&)
{
}

} // namespace

filter authenticate_filter()
{
    return {"authenticate", enter, leave};
}

} // namespace caperpath::filters
