#include "filters/request_filters.hpp"

#include <caperpath/base/http_status.hpp>
#include <caperpath/observe/log.hpp>

namespace caperpath::filters
{

namespace
{

// Status that other servers log for a caller that disconnected; never sent.
constexpr int http_caller_left = 499;

std::optional<request::rejection> enter(context& request)
{
    auto const caller =
        observe::continue_trace(request.in.traceparent, *request.shared.ids);
    request.span.emplace("request", caller, *request.shared.ids,
                         request.shared.wall);
    return std::nullopt;
}

request::outcome outcome_of(context const& request)
{
    if (request.state == progress::completed)
    {
        return request::outcome::completed;
    }
    return request.rejection ? request.rejection->kind
                             : request::outcome::unknown;
}

int status_of(context const& request)
{
    if (request.state == progress::completed)
    {
        return http_ok;
    }
    return request.rejection ? request.rejection->status : http_caller_left;
}

void leave(context& request)
{
    auto const outcome = outcome_of(request);
    auto const status = status_of(request);
    auto& metrics = *request.shared.metrics;
    metrics.request_finished(outcome, status);
    std::string detail = "status=" + std::to_string(status) + " outcome=" +
                         std::string{request::to_string(outcome)} +
                         " cost=" + std::to_string(request.cost);
    if (request.rejection)
    {
        metrics.request_rejected(request.rejection->code);
        detail += " code=" + request.rejection->code;
    }
    auto const version = request.document ? request.document->version : 0;
    detail += " config_version=" + std::to_string(version);
    detail += " customer=" + observe::escape_value(request.customer.value);
    observe::log_info({"account", request.id.value, {}}, detail);
    request.span->with_attribute("config.version", std::to_string(version));
    request.span->with_attribute("status", std::to_string(status));
    finish_span(request, std::move(*request.span));
}

} // namespace

filter account_filter()
{
    return {"account", enter, leave};
}

} // namespace caperpath::filters
