#include "router/chat_relay.hpp"

#include <caperpath/base/http_status.hpp>
#include <caperpath/observe/log.hpp>

#include <algorithm>
#include <thread>
#include <utility>

namespace caperpath::router
{

namespace
{

constexpr int max_attempts = 4;
constexpr duration default_retry_after{5'000};
constexpr std::string_view not_run_header = "caperpath-not-run";
constexpr std::string_view draining_header = "caperpath-leaving";

bool is_set(http::headers const& all, std::string_view name)
{
    return http::header_value(all, std::string{name}) == "true";
}

} // namespace

chat_relay::chat_relay(filters::context& request)
    : request{request}, chat{std::get<request::chat_request>(
                            request.parsed_request)},
      response{.request = request.id,
               .attempt = 0,
               .next_offset = 0,
               .max_tokens =
                   std::get<request::chat_request>(request.parsed_request)
                       .max_tokens,
               .finish_reason = {},
               .used = {},
               .done = false}
{
}

chat_relay::~chat_relay()
{
    this->abandon();
}

relay_event chat_relay::next()
{
    while (true)
    {
        if (!this->ready.empty())
        {
            auto event = std::move(this->ready.front());
            this->ready.pop_front();
            return event;
        }
        if (filters::shutdown_due(this->request))
        {
            this->end_attempt(routing::attempt_result::abandoned);
            return {relay_event::kind::failed, "",
                    filters::shutdown_rejection(this->may_have_run)};
        }
        if (this->deadline_passed())
        {
            this->end_attempt(routing::attempt_result::abandoned);
            return this->fail(http_gateway_timeout, "deadline_exceeded",
                              "the request's time is over");
        }
        if (this->open == nullptr)
        {
            if (auto failed = this->begin_attempt())
            {
                return *failed;
            }
        }
        auto event = filters::wait_for_event(this->request, *this->open,
                                             this->next_timeout());
        auto ended = event                ? this->handle_event(*event)
                     : this->is_aborted() ? std::nullopt
                                          : this->retry_after_silence();
        if (ended)
        {
            return *ended;
        }
    }
}

// An open connection can go silent permanently while new ones work, and the
// caller would wait until the deadline. The timeout is derived from the
// engine's recent token gaps, so a silence is detected within a few of them.
duration chat_relay::next_timeout() const
{
    auto const first = this->token_in_attempt
                           ? request::silence_timeout(this->gaps)
                           : request::gap_tracker::initial_timeout;
    auto const bound =
        std::min(first * (std::int64_t{1} << this->silence_count),
                 request::gap_tracker::max_timeout);
    auto const left = this->request.deadline - this->request.shared.time.now();
    return std::clamp(left, duration{1}, bound);
}

bool chat_relay::deadline_passed() const
{
    return this->request.shared.time.now() >= this->request.deadline;
}

bool chat_relay::is_aborted() const
{
    return this->deadline_passed() || filters::shutdown_due(this->request);
}

routing::choose_reply chat_relay::choose(int attempt) const
{
    if (attempt > max_attempts)
    {
        return {};
    }
    return this->request.shared.backends.choose(
        {config::backend_kind::engine, this->chat.model.value,
         this->request.document->routing.policy, this->excluded, attempt});
}

std::optional<relay_event> chat_relay::begin_attempt()
{
    if (this->response.attempt >= max_attempts)
    {
        return this->fail(http_bad_gateway, "backend_failed",
                          "every attempt at a backend server failed");
    }
    auto next = this->choose(this->response.attempt + 1);
    if (next.verdict != routing::choice::chosen)
    {
        bool const none_usable = next.verdict == routing::choice::none_usable;
        return this->fail(http_unavailable,
                          none_usable ? "no_backend_server" : "retries_used_up",
                          none_usable ? "no backend server takes this work now"
                                      : "too many requests fail at the moment",
                          default_retry_after);
    }
    return this->open_attempt(std::move(next));
}

std::optional<relay_event>
chat_relay::open_attempt(routing::choose_reply chosen)
{
    this->response = request::next_attempt(this->response);
    this->target = std::move(chosen);
    if (this->response.attempt > 1)
    {
        this->request.shared.metrics->retried();
    }
    this->gaps = this->target.gaps;
    this->splitter = {};
    this->silence_count = 0;
    this->token_in_attempt = false;
    this->accepted_head = false;
    this->awaiting_response = true;
    this->span.emplace(filters::child_span(this->request, "attempt"));
    this->span->with_attribute(observe::peer_attribute, this->target.address);
    this->open = http::exchange::start(
        *this->request.shared.workers, *this->request.shared.connections,
        this->target.address, this->wire_request());
    return std::nullopt;
}

http::exchange_request chat_relay::wire_request() const
{
    return {
        "POST",
        "/v1/chat/completions",
        {{"X-Request-Id", this->request.id.value},
         {"Caperpath-Attempt", std::to_string(this->response.attempt)},
         {"Caperpath-Resume-Offset",
          std::to_string(this->response.next_offset)},
         {"Caperpath-Priority",
          std::to_string(this->request.customer_settings->priority)},
         {"traceparent", observe::format_traceparent(this->span->context())}},
        this->chat.upstream_body,
        "application/json",
        false};
}

std::optional<relay_event>
chat_relay::handle_event(http::exchange_event const& event)
{
    this->awaiting_response = false;
    switch (event.type)
    {
    case http::exchange_event::kind::head:
        return this->handle_head(event);
    case http::exchange_event::kind::data:
        return this->handle_data(event.data);
    case http::exchange_event::kind::end:
        return this->retry_after_failure(
            "response ended before it was complete");
    case http::exchange_event::kind::failed:
        break;
    }
    this->may_have_run = this->may_have_run || event.maybe_sent;
    return this->retry_after_failure(event.detail);
}

std::optional<relay_event>
chat_relay::handle_head(http::exchange_event const& head)
{
    if (head.status == http_ok)
    {
        this->may_have_run = true;
        // On a connection whose previous response was not fully read, the next
        // head can belong to another request.
        bool const matches = http::header_value(head.headers, "x-request-id") ==
                             this->request.id.value;
        this->accepted_head = matches;
        return matches
                   ? std::nullopt
                   : this->retry_after_failure("response to another request");
    }
    if (!http::may_belong_to(head, this->request.id.value))
    {
        this->may_have_run = true;
        return this->retry_after_failure("response to another request");
    }
    bool const not_run = is_set(head.headers, not_run_header);
    this->may_have_run = this->may_have_run || !not_run;
    if (is_set(head.headers, draining_header))
    {
        this->end_attempt(routing::attempt_result::draining);
        return std::nullopt;
    }
    if (not_run || head.status == http_too_many)
    {
        this->excluded.push_back(this->target.id);
        this->end_attempt(routing::attempt_result::overloaded);
        return std::nullopt;
    }
    if (head.status >= http_client_error && head.status < http_server_error)
    {
        this->end_attempt(routing::attempt_result::ok);
        auto failure = this->fail(http_client_error, "backend_rejected",
                                  "the model engine rejected this request");
        failure.rejection.kind = request::outcome::completed;
        return failure;
    }
    return this->retry_after_failure("status " + std::to_string(head.status));
}

std::optional<relay_event> chat_relay::handle_data(std::string const& data)
{
    if (!this->accepted_head)
    {
        return std::nullopt; // the body of a response that was not accepted
    }
    for (auto const& chunk : this->splitter.feed(data))
    {
        auto ended = this->handle_chunk(chunk);
        if (ended || this->open == nullptr)
        {
            return ended;
        }
    }
    if (this->splitter.broken())
    {
        return this->retry_after_failure("event exceeds the maximum size");
    }
    return std::nullopt;
}

std::optional<relay_event> chat_relay::handle_chunk(std::string const& chunk)
{
    auto const event = request::decode_engine_event(chunk);
    auto const accepted = request::accept(this->response, event);
    if (accepted.verdict == request::acceptance::broken)
    {
        return this->retry_after_failure("malformed or unexpected event");
    }
    this->response = accepted.state;
    if (this->response.done)
    {
        this->fully_read = accepted.verdict == request::acceptance::pass;
        this->end_attempt(routing::attempt_result::ok);
        this->ready.push_back(
            {relay_event::kind::finished, this->response.finish_reason, {}});
        return std::nullopt;
    }
    if (event.type != request::engine_event::kind::token)
    {
        return std::nullopt;
    }
    auto const now = this->request.shared.time.now();
    if (this->token_in_attempt)
    {
        this->gaps = request::record_gap(this->gaps, now - this->last_token);
    }
    this->token_in_attempt = true;
    this->silence_count = 0;
    this->last_token = now;
    this->ready.push_back({relay_event::kind::token, event.text, {}});
    return std::nullopt;
}

// The cause of a silence may be a stall of this router or a slow engine. If no
// other attempt is possible, closing the connection would lose a response that
// can still arrive. So another server is chosen first; without one the wait
// continues with twice the timeout.
std::optional<relay_event> chat_relay::retry_after_silence()
{
    auto const bound = this->next_timeout();
    if (bound >= request::gap_tracker::max_timeout)
    {
        return this->retry_after_failure("no data within the maximum timeout");
    }
    this->excluded.push_back(this->target.id);
    auto next = this->choose(this->response.attempt + 1);
    if (next.verdict != routing::choice::chosen)
    {
        ++this->silence_count;
        return std::nullopt;
    }
    // One connection that goes silent after its first token does not indicate a
    // failed server. A connection without any token, or a second one in a row,
    // does: a server that hangs has few open requests and would attract every
    // new one.
    bool const counts = this->response.attempt > 1 || !this->token_in_attempt;
    this->fail_attempt("no data within the timeout",
                       counts ? routing::attempt_result::failed
                              : routing::attempt_result::overloaded);
    return this->open_attempt(std::move(next));
}

std::optional<relay_event>
chat_relay::retry_after_failure(std::string const& reason)
{
    this->excluded.push_back(this->target.id);
    this->fail_attempt(reason, routing::attempt_result::failed);
    std::uint64_t const random = this->request.shared.ids->next_span_id().value;
    auto const pause = request::backoff(this->response.attempt + 1, random);
    std::this_thread::sleep_for(std::chrono::milliseconds{pause.ms});
    return std::nullopt;
}

void chat_relay::fail_attempt(std::string const& reason,
                              routing::attempt_result result)
{
    observe::log_warning(
        {"dispatch", this->request.id.value, this->target.address},
        "attempt=" + std::to_string(this->response.attempt) + " offset=" +
            std::to_string(this->response.next_offset) + " failed: " + reason);
    this->end_attempt(result);
}

void chat_relay::end_attempt(routing::attempt_result result)
{
    if (this->open == nullptr)
    {
        return;
    }
    this->may_have_run = this->may_have_run || this->awaiting_response;
    // A fully read exchange closes by itself and its connection is reused. The
    // rest of any other exchange would be taken for the next response.
    if (!this->fully_read)
    {
        this->open->cancel();
    }
    this->open.reset();
    this->request.shared.backends.report({this->target.id, result, this->gaps});
    filters::finish_span(this->request, std::move(*this->span));
    this->span.reset();
}

relay_event chat_relay::fail(int status, std::string code, std::string message,
                             duration retry_after)
{
    auto const kind = this->may_have_run ? request::outcome::unknown
                                         : request::outcome::not_run;
    return {relay_event::kind::failed,
            "",
            {status, kind, retry_after, "server_error", std::move(code), "",
             std::move(message)}};
}

void chat_relay::abandon()
{
    this->end_attempt(routing::attempt_result::abandoned);
}

request::usage chat_relay::used() const
{
    if (this->response.used)
    {
        return *this->response.used;
    }
    if (this->response.next_offset == 0)
    {
        return {};
    }
    return {request::estimated_prompt_tokens(this->chat.prompt_bytes),
            this->response.next_offset};
}

} // namespace caperpath::router
