#include "filters/context.hpp"

#include "router/chat_relay.hpp"

#include <caperpath/base/http_status.hpp>

#include <algorithm>
#include <utility>

namespace caperpath::filters
{

namespace
{

// A waiting request checks at this interval whether a stop has become due.
constexpr duration shutdown_check_interval{100};
constexpr duration retry_elsewhere_after{1'000};

} // namespace

context::context(request_dependencies const& shared, incoming given)
    : shared{shared}, in{std::move(given)}, received{shared.time.now()}
{
}

context::~context() = default;

bool context::idempotent() const
{
    auto const* call = std::get_if<service_request>(&this->parsed_request);
    return call == nullptr || call->call.idempotent;
}

token_count context::cost_so_far() const
{
    bool const counts = this->state == progress::completed ||
                        this->state == progress::abandoned;
    if (!counts || this->replayed)
    {
        return 0;
    }
    auto const* const chat =
        std::get_if<request::chat_request>(&this->parsed_request);
    if (chat == nullptr)
    {
        bool const ran = this->state == progress::completed;
        return ran ? this->worst_case : 0;
    }
    auto const whole = request::cost(this->document->models.at(chat->model),
                                     this->used, this->worst_case);
    // A retry of a chat whose caller disconnected runs from the start; only
    // tokens that earlier runs did not bill are charged.
    return std::max<token_count>(0, whole - this->billed_before);
}

budget::bill context::bill() const
{
    return {this->id,
            this->customer,
            this->customer_settings->budget,
            this->cost_so_far(),
            this->used.prompt_tokens,
            this->used.completion_tokens,
            this->document->version,
            this->stores_response};
}

bool shutdown_due(context const& request)
{
    auto const* const stop_at = request.shared.stop_at;
    return stop_at != nullptr &&
           request.shared.time.now().ms >= stop_at->load();
}

request::rejection shutdown_rejection(bool may_have_run)
{
    auto const kind =
        may_have_run ? request::outcome::unknown : request::outcome::not_run;
    return {may_have_run ? http_gateway_timeout : http_unavailable,
            kind,
            may_have_run ? duration{} : retry_elsewhere_after,
            "server_error",
            "router_stops",
            "",
            "this router stops before the request can end"};
}

std::optional<http::exchange_event>
wait_for_event(context const& request, http::exchange& open, duration bound)
{
    auto const until = request.shared.time.now() + bound;
    while (!shutdown_due(request))
    {
        auto const remaining = until - request.shared.time.now();
        auto const span =
            std::clamp(remaining, duration{}, shutdown_check_interval);
        auto event = open.wait(span);
        if (event || remaining <= shutdown_check_interval)
        {
            return event;
        }
    }
    return std::nullopt;
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
