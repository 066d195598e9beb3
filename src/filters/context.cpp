#include "filters/context.hpp"

#include "router/chat_relay.hpp"

#include <caperpath/base/http_status.hpp>

#include <algorithm>
#include <utility>

namespace caperpath::filters
{

namespace
{

// A stop may begin, and become due, while a request waits.
constexpr duration stop_check{100};
constexpr duration return_elsewhere{1'000};

} // namespace

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

token_count context::cost_so_far() const
{
    bool const counts = this->state == progress::completed ||
                        this->state == progress::abandoned;
    if (!counts || this->replayed)
    {
        return 0;
    }
    auto const* const chat = std::get_if<request::chat_request>(&this->work);
    if (chat == nullptr)
    {
        bool const ran = this->state == progress::completed;
        return ran ? this->worst_case : 0;
    }
    auto const whole = request::cost(this->document->models.at(chat->model),
                                     this->used, this->worst_case);
    // A repeat of a chat whose caller left runs it again from the start; only
    // what has not been billed yet is added.
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
            this->keeps_answer};
}

bool stop_is_due(context const& request)
{
    auto const* const stop_at = request.shared.stop_at;
    return stop_at != nullptr &&
           request.shared.time.now().ms >= stop_at->load();
}

request::refusal stop_refusal(bool may_have_run)
{
    auto const kind =
        may_have_run ? request::outcome::unknown : request::outcome::not_run;
    return {may_have_run ? http_gateway_timeout : http_unavailable,
            kind,
            may_have_run ? duration{} : return_elsewhere,
            "server_error",
            "router_stops",
            "",
            "this router stops before the request can end"};
}

std::optional<http::exchange_event>
wait_for_event(context const& request, http::exchange& open, duration bound)
{
    auto const until = request.shared.time.now() + bound;
    while (!stop_is_due(request))
    {
        auto const left = until - request.shared.time.now();
        auto const span = std::clamp(left, duration{}, stop_check);
        auto event = open.wait(span);
        if (event || left <= stop_check)
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
