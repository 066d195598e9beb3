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

constexpr int most_attempts = 3;
constexpr std::size_t most_answer_bytes = 8 * 1024 * 1024;
constexpr duration return_within{5'000};

enum class attempt_end
{
    answered,
    not_run, ///< provably
    unknown  ///< it may have run
};

struct attempt
{
    attempt_end end{attempt_end::unknown};
    routing::attempt_result report{routing::attempt_result::failed};
    request::kept_answer answer;
    std::string why;
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
    // The service sees the id that is unique over customers, not the caller's
    // own key, which two customers may both have chosen.
    headers.emplace_back("Idempotency-Key", request.id.value);
    return {request.in.method,       work.path,
            std::move(headers),      request.in.body,
            request.in.content_type, !work.call.idempotent};
}

// A status that says by itself, or by its header, that nothing was run.
attempt proved_not_run(http::headers const& headers)
{
    bool const leaving =
        http::header_value(headers, "caperpath-leaving") == "true";
    return {attempt_end::not_run,
            leaving ? routing::attempt_result::leaving
                    : routing::attempt_result::overloaded,
            {},
            "the service said that it did not run it"};
}

attempt read_answer(filters::context const& request, http::exchange& open)
{
    request::kept_answer answer;
    while (true)
    {
        auto const left = request.deadline - request.shared.time.now();
        auto event = left.ms > 0 ? filters::wait_for_event(request, open, left)
                                 : std::nullopt;
        if (!event)
        {
            return {attempt_end::unknown,
                    routing::attempt_result::failed,
                    {},
                    "no answer in time"};
        }
        switch (event->what)
        {
        case http::exchange_event::kind::head:
            if (http::header_value(event->headers, "caperpath-not-run") ==
                "true")
            {
                return proved_not_run(event->headers);
            }
            answer.status = event->status;
            answer.content_type =
                http::header_value(event->headers, "content-type");
            break;
        case http::exchange_event::kind::data:
            answer.body += event->data;
            if (answer.body.size() > most_answer_bytes)
            {
                return {attempt_end::unknown,
                        routing::attempt_result::failed,
                        {},
                        "the answer is too long"};
            }
            break;
        case http::exchange_event::kind::end:
            return {attempt_end::answered, routing::attempt_result::ok,
                    std::move(answer), ""};
        case http::exchange_event::kind::failed:
            return {event->sent ? attempt_end::unknown : attempt_end::not_run,
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
    auto made = read_answer(request, *open);
    if (made.end != attempt_end::answered)
    {
        open->cancel();
        observe::log_warning({"dispatch", request.id.value, target.address},
                             "attempt=" + std::to_string(number) +
                                 " failed: " + made.why);
    }
    request.shared.backends.report({target.id, made.report, {}});
    filters::finish_span(request, std::move(span));
    return made;
}

request::refusal refusal_of(bool may_have_run, bool in_time, std::string code,
                            std::string message)
{
    auto const kind =
        may_have_run ? request::outcome::unknown : request::outcome::not_run;
    int const status = !in_time       ? http_gateway_timeout
                       : may_have_run ? http_bad_gateway
                                      : http_unavailable;
    return {status,
            kind,
            may_have_run ? duration{} : return_within,
            "server_error",
            std::move(code),
            "",
            std::move(message)};
}

} // namespace

std::variant<request::kept_answer, request::refusal>
call_service(filters::context& request)
{
    auto const& work = std::get<filters::service_request>(request.work);
    std::vector<backend_server_id> avoid;
    bool may_have_run = false;
    for (int number = 1; number <= most_attempts; ++number)
    {
        if (filters::stop_is_due(request))
        {
            return filters::stop_refusal(may_have_run);
        }
        auto const target = request.shared.backends.choose(
            {config::backend_kind::plain_service, work.service.value,
             request.document->routing.policy, avoid, number});
        if (target.verdict != routing::choice::chosen)
        {
            return refusal_of(may_have_run, true, "no_backend_server",
                              "no backend server takes this call now");
        }
        if (number > 1)
        {
            request.shared.metrics->retried();
        }
        auto made = make_attempt(request, work, target, number);
        if (made.end == attempt_end::answered)
        {
            return std::move(made.answer);
        }
        may_have_run = may_have_run || made.end == attempt_end::unknown;
        if (filters::stop_is_due(request))
        {
            return filters::stop_refusal(may_have_run);
        }
        // A parts order that may have arrived must not be sent again: the
        // client would get two batteries and pay for both.
        if (may_have_run && !work.call.idempotent)
        {
            break;
        }
        if (request.shared.time.now() >= request.deadline)
        {
            break;
        }
        avoid.push_back(target.id);
        std::uint64_t const random = request.shared.ids->next_span_id().value;
        auto const pause = request::backoff(number + 1, random);
        std::this_thread::sleep_for(std::chrono::milliseconds{pause.ms});
    }
    bool const in_time = request.shared.time.now() < request.deadline;
    return refusal_of(may_have_run, in_time, "backend_failed",
                      may_have_run
                          ? "the call was sent and no whole answer came back"
                          : "no backend server could be reached");
}

} // namespace caperpath::router
