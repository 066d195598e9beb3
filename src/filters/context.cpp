#include "filters/context.hpp"

#include "router/chat_relay.hpp"

#include <utility>

namespace caperpath::filters
{

context::context(services const& shared, incoming given)
    : shared{shared}, in{std::move(given)}, received{shared.time.now()}
{
}

context::~context() = default;

bool context::idempotent() const
{
    auto const* call = std::get_if<service_request>(&this->work);
    return call == nullptr || call->call.idempotent;
}

observe::span_builder child_span(context const& request, std::string name)
{
    return {std::move(name), request.span->context(), *request.shared.ids,
            request.shared.wall};
}

void finish_span(context const& request, observe::span_builder span)
{
    span.with_attribute(observe::request_attribute, request.id.value);
    span.with_attribute(observe::vm_attribute, request.shared.vm);
    request.shared.spans.record(span.finish());
}

} // namespace caperpath::filters
