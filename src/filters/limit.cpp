#include "filters/request_filters.hpp"

#include <caperpath/base/http_status.hpp>

namespace caperpath::filters
{

namespace
{

routing::limits bounds_of(context const& request)
{
    return {request.customer_settings->max_concurrent,
            request.customer_settings->tokens_per_second};
}

std::optional<request::rejection> enter(context& request)
{
    if (request.replayed)
    {
        return std::nullopt;
    }
    auto const reply = request.shared.limits.admit(
        {request.customer, bounds_of(request), request.worst_case});
    if (reply.verdict == routing::limit_verdict::admitted)
    {
        return std::nullopt;
    }
    bool const open =
        reply.verdict == routing::limit_verdict::concurrency_exceeded;
    return request::rejection{
        http_too_many,
        request::outcome::not_run,
        reply.retry_after,
        "rate_limit_error",
        open ? "too_many_open_requests" : "token_rate_exceeded",
        "",
        open ? "this customer has too many open requests"
             : "this customer asks for too many tokens a second"};
}

void leave(context& request)
{
    if (request.replayed)
    {
        return;
    }
    request.shared.limits.release({request.customer, bounds_of(request),
                                   request.worst_case - request.cost});
}

} // namespace

filter limit_filter()
{
    return {"limit", enter, leave};
}

} // namespace caperpath::filters
