#include "router/service_call.hpp"

#include <caperpath/base/http_status.hpp>
#include <caperpath/observe/log.hpp>

#include <thread>
#include <utility>
#include <vector>

namespace caperpath::router
{

namespace
{

constexpr int max_attempts = 3;
constexpr std::size_t max_response_bytes = 8 * 1024 * 1024;
constexpr std::size_t min_response_bytes = 256 * 1024; // whatever others hold
constexpr duration default_retry_after{5'000};

enum class attempt_status
{
    answered,
    not_run, ///< provably
    unknown  ///< it may have run
};

struct attempt
{
    attempt_status end{attempt_status::unknown};
    routing::attempt_result report{routing::attempt_result::failed};
    request::stored_response response;
    std::string reason;
};

http::exchange_request wire_request(filters::context const& request,
                                    filters::service_request const& work,
                                    int number,
                                    observe::span_builder const& span)
{
    std::vector<std::pair<std::string, std::string>> headers{
        {"X-Request-Id", request.id.value},
        {"Caperpath-Attempt", std::to_string(number)},
        {"traceparent", observe::format_traceparent(span.context())}};
    // The service gets the id, which is unique across customers. Two customers
    // may have chosen the same key.
    headers.emplace_back("Idempotency-Key", request.id.value);
    // Services need not return the id, so only a new connection shows which
    // request a response belongs to.
    return {request.in.method,       work.path,
            std::move(headers),      request.in.body,
            request.in.content_type, true};
}

// The result of an attempt whose response header states that it did not run.
attempt not_run_attempt(http::headers const& headers)
{
    bool const draining =
        http::header_value(headers, "caperpath-leaving") == "true";
    return {attempt_status::not_run,
            draining ? routing::attempt_result::draining
                     : routing::attempt_result::overloaded,
            {},
            "the service reported that it did not run the call"};
}

attempt read_response(filters::context const& request, http::exchange& open)
{
    request::stored_response response;
    http::held_bytes held{request.shared.connections->held()};
    while (true)
    {
        auto const remaining = request.deadline - request.shared.time.now();
        auto event = remaining.ms > 0
                         ? filters::wait_for_event(request, open, remaining)
                         : std::nullopt;
        if (!event)
        {
            return {attempt_status::unknown,
                    routing::attempt_result::failed,
                    {},
                    "no complete response before the deadline"};
        }
        switch (event->type)
        {
        case http::exchange_event::kind::head:
            if (!http::may_belong_to(*event, request.id.value))
            {
                return {attempt_status::unknown,
                        routing::attempt_result::failed,
                        {},
                        "response to another request"};
            }
            if (http::header_value(event->headers, "caperpath-not-run") ==
                "true")
            {
                return not_run_attempt(event->headers);
            }
            response.status = event->status;
            response.content_type =
                http::header_value(event->headers, "content-type");
            break;
        case http::exchange_event::kind::data:
            response.body += event->data;
            held.add(event->data.size());
            if (response.body.size() > max_response_bytes ||
                held.exceeds(min_response_bytes))
            {
                return {attempt_status::unknown,
                        routing::attempt_result::failed,
                        {},
                        "the response exceeds 8 MiB or its share of memory"};
            }
            break;
        case http::exchange_event::kind::end:
            return {attempt_status::answered, routing::attempt_result::ok,
                    std::move(response), ""};
        case http::exchange_event::kind::failed:
            return {event->maybe_sent ? attempt_status::unknown
                                      : attempt_status::not_run,
                    routing::attempt_result::failed,
                    {},
                    event->detail};
        }
    }
}

attempt make_attempt(filters::context& request,
                     filters::service_request const& work,
                     routing::choose_reply const& target, int number)
{
    auto span = filters::child_span(request, "attempt");
    span.with_attribute(observe::peer_attribute, target.address);
    auto const open = http::exchange::start(
        *request.shared.workers, *request.shared.connections, target.address,
        wire_request(request, work, number, span));
    auto result = read_response(request, *open);
    if (result.end != attempt_status::answered)
    {
        open->cancel();
        observe::log_warning({"dispatch", request.id.value, target.address},
                             "attempt=" + std::to_string(number) +
                                 " failed: " + result.reason);
    }
    request.shared.backends.report({target.id, result.report, {}});
    filters::finish_span(request, std::move(span));
    return result;
}

request::rejection rejection_of(bool may_have_run, bool in_time,
                                std::string code, std::string message)
{
    auto const kind =
        may_have_run ? request::outcome::unknown : request::outcome::not_run;
    int const status = !in_time       ? http_gateway_timeout
                       : may_have_run ? http_bad_gateway
                                      : http_unavailable;
    return {status,
            kind,
            may_have_run ? duration{} : default_retry_after,
            "server_error",
            std::move(code),
            "",
            std::move(message)};
}

} // namespace

std::variant<request::stored_response, request::rejection>
call_service(filters::context& request)
{
    auto const& work =
        std::get<filters::service_request>(request.parsed_request);
    std::vector<backend_server_id> excluded;
    bool may_have_run = false;
    for (int number = 1; number <= max_attempts; ++number)
    {
        if (filters::shutdown_due(request))
        {
            return filters::shutdown_rejection(may_have_run);
        }
        auto const target = request.shared.backends.choose(
            {config::backend_kind::plain_service, work.service.value,
             request.document->routing.policy, excluded, number});
        if (target.verdict != routing::choice::chosen)
        {
            return rejection_of(may_have_run, true, "no_backend_server",
                                "no backend server takes this call now");
        }
        if (number > 1)
        {
            request.shared.metrics->retried();
        }
        auto result = make_attempt(request, work, target, number);
        if (result.end == attempt_status::answered)
        {
            return std::move(result.response);
        }
        may_have_run = may_have_run || result.end == attempt_status::unknown;
        if (filters::shutdown_due(request))
        {
            return filters::shutdown_rejection(may_have_run);
        }
        // A call that may have run must not be sent again if it is not
        // idempotent: it would be executed and paid for twice.
        if (may_have_run && !work.call.idempotent)
        {
            break;
        }
        if (request.shared.time.now() >= request.deadline)
        {
            break;
        }
        excluded.push_back(target.id);
        std::uint64_t const random = request.shared.ids->next_span_id().value;
        auto const pause = request::backoff(number + 1, random);
        std::this_thread::sleep_for(std::chrono::milliseconds{pause.ms});
    }
    bool const in_time = request.shared.time.now() < request.deadline;
    return rejection_of(may_have_run, in_time, "backend_failed",
                        may_have_run
                            ? "the call was sent and no whole answer came back"
                            : "no backend server could be reached");
}

} // namespace caperpath::router
