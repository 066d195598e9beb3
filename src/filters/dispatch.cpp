#include "filters/request_filters.hpp"

#include "router/chat_relay.hpp"
#include "router/service_call.hpp"

#include <utility>

namespace caperpath::filters
{

namespace
{

std::optional<request::rejection> call_plain_service(context& request)
{
    auto outcome = router::call_service(request);
    if (auto* const rejection = std::get_if<request::rejection>(&outcome))
    {
        return std::move(*rejection);
    }
    request.response = std::move(std::get<request::stored_response>(outcome));
    request.state = progress::completed;
    return std::nullopt;
}

std::optional<request::rejection> enter(context& request)
{
    if (request.replayed)
    {
        request.state = progress::completed;
        return std::nullopt;
    }
    if (std::holds_alternative<service_request>(request.parsed_request))
    {
        return call_plain_service(request);
    }
    request.relay = std::make_unique<router::chat_relay>(request);
    return std::nullopt;
}

void leave(context& request)
{
    if (request.relay == nullptr)
    {
        return;
    }
    request.relay->abandon();
    request.used = request.relay->used();
}

} // namespace

filter dispatch_filter()
{
    return {"dispatch", enter, leave};
}

std::vector<filter> const& request_filters()
{
    static std::vector<filter> const filters{
        account_filter(), drain_filter(),          authenticate_filter(),
        parse_filter(),   identify_filter(),       limit_filter(),
        reserve_filter(), store_response_filter(), dispatch_filter()};
    return filters;
}

} // namespace caperpath::filters
