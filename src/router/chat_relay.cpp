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

constexpr int most_attempts = 4;
constexpr duration return_within{5'000};
constexpr std::string_view not_run_header = "caperpath-not-run";
constexpr std::string_view leaving_header = "caperpath-leaving";

bool is_set(http::headers const& all, std::string_view name)
{
    return http::header_value(all, std::string{name}) == "true";
}

} // namespace

chat_relay::chat_relay(filters::context& request)
    : request{request}, chat{std::get<request::chat_request>(request.work)},
      answer{.request = request.id,
             .attempt = 0,
             .next_offset = 0,
             .max_tokens =
                 std::get<request::chat_request>(request.work).max_tokens,
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
        if (filters::stop_is_due(this->request))
        {
            this->end_attempt(routing::attempt_result::abandoned);
            return {relay_event::kind::failed, "",
                    filters::stop_refusal(this->may_have_run)};
        }
        if (this->time_is_up())
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
                                             this->next_bound());
        auto ended = event                 ? this->take(*event)
                     : this->is_given_up() ? std::nullopt
                                           : this->retry_after_silence();
        if (ended)
        {
            return *ended;
        }
    }
}

// An open connection can go silent for good while new ones work. The caller
// would wait until the deadline; the bound follows the engine's recent token
// gaps, so the silence is noticed within a few of them.
duration chat_relay::next_bound() const
{
    auto const first = this->token_in_attempt
                           ? request::silence_bound(this->gaps)
                           : request::gap_tracker::initial_bound;
    auto const bound = std::min(first * (std::int64_t{1} << this->silences),
                                request::gap_tracker::most);
    auto const left = this->request.deadline - this->request.shared.time.now();
    return std::clamp(left, duration{1}, bound);
}

bool chat_relay::time_is_up() const
{
    return this->request.shared.time.now() >= this->request.deadline;
}

bool chat_relay::is_given_up() const
{
    return this->time_is_up() || filters::stop_is_due(this->request);
}

routing::choose_reply chat_relay::choose(int attempt) const
{
    if (attempt > most_attempts)
    {
        return {};
    }
    return this->request.shared.backends.choose(
        {config::backend_kind::engine, this->chat.model.value,
         this->request.document->routing.policy, this->avoid, attempt});
}

std::optional<relay_event> chat_relay::begin_attempt()
{
    if (this->answer.attempt >= most_attempts)
    {
        return this->fail(http_bad_gateway, "backend_failed",
                          "every attempt at a backend server failed");
    }
    auto next = this->choose(this->answer.attempt + 1);
    if (next.verdict != routing::choice::chosen)
    {
        bool const none = next.verdict == routing::choice::none_usable;
        return this->fail(http_unavailable,
                          none ? "no_backend_server" : "retries_used_up",
                          none ? "no backend server takes this work now"
                               : "too many requests fail at the moment",
                          return_within);
    }
    return this->open_attempt(std::move(next));
}

std::optional<relay_event>
chat_relay::open_attempt(routing::choose_reply chosen)
{
    this->answer = request::next_attempt(this->answer);
    this->target = std::move(chosen);
    if (this->answer.attempt > 1)
    {
        this->request.shared.metrics->retried();
    }
    this->gaps = this->target.gaps;
    this->splitter = {};
    this->silences = 0;
    this->token_in_attempt = false;
    this->accepted_head = false;
    this->unanswered = true;
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
         {"Caperpath-Attempt", std::to_string(this->answer.attempt)},
         {"Caperpath-Resume-Offset", std::to_string(this->answer.next_offset)},
         {"Caperpath-Priority",
          std::to_string(this->request.customer_settings->priority)},
         {"traceparent", observe::format_traceparent(this->span->context())}},
        this->chat.upstream_body,
        "application/json",
        false};
}

std::optional<relay_event> chat_relay::take(http::exchange_event const& event)
{
    this->unanswered = false;
    switch (event.what)
    {
    case http::exchange_event::kind::head:
        return this->take_head(event);
    case http::exchange_event::kind::data:
        return this->take_data(event.data);
    case http::exchange_event::kind::end:
        return this->retry_after_failure("the answer ended before its end");
    case http::exchange_event::kind::failed:
        break;
    }
    this->may_have_run = this->may_have_run || event.sent;
    return this->retry_after_failure(event.detail);
}

std::optional<relay_event>
chat_relay::take_head(http::exchange_event const& head)
{
    if (head.status == http_ok)
    {
        this->may_have_run = true;
        // On a connection whose earlier answer was not read to its end the
        // next head can be another request's.
        bool const ours = http::header_value(head.headers, "x-request-id") ==
                          this->request.id.value;
        this->accepted_head = ours;
        return ours ? std::nullopt
                    : this->retry_after_failure("answer to another request");
    }
    bool const proved = is_set(head.headers, not_run_header);
    this->may_have_run = this->may_have_run || !proved;
    if (is_set(head.headers, leaving_header))
    {
        this->end_attempt(routing::attempt_result::leaving);
        return std::nullopt;
    }
    if (proved || head.status == http_too_many)
    {
        this->avoid.push_back(this->target.id);
        this->end_attempt(routing::attempt_result::overloaded);
        return std::nullopt;
    }
    if (head.status >= http_client_error && head.status < http_server_error)
    {
        this->end_attempt(routing::attempt_result::ok);
        auto refused = this->fail(http_client_error, "backend_rejected",
                                  "the model engine rejected this request");
        refused.refusal.kind = request::outcome::completed;
        return refused;
    }
    return this->retry_after_failure("status " + std::to_string(head.status));
}

std::optional<relay_event> chat_relay::take_data(std::string const& data)
{
    if (!this->accepted_head)
    {
        return std::nullopt; // the body of an answer that was not taken
    }
    for (auto const& chunk : this->splitter.feed(data))
    {
        auto ended = this->take_chunk(chunk);
        if (ended || this->open == nullptr)
        {
            return ended;
        }
    }
    if (this->splitter.broken())
    {
        return this->retry_after_failure("an event without an end");
    }
    return std::nullopt;
}

std::optional<relay_event> chat_relay::take_chunk(std::string const& chunk)
{
    auto const event = request::decode_engine_event(chunk);
    auto const taken = request::accept(this->answer, event);
    if (taken.verdict == request::acceptance::broken)
    {
        return this->retry_after_failure("an event out of place");
    }
    this->answer = taken.state;
    if (this->answer.done)
    {
        this->read_to_end = taken.verdict == request::acceptance::pass;
        this->end_attempt(routing::attempt_result::ok);
        this->ready.push_back(
            {relay_event::kind::finished, this->answer.finish_reason, {}});
        return std::nullopt;
    }
    if (event.what != request::engine_event::kind::token)
    {
        return std::nullopt;
    }
    auto const now = this->request.shared.time.now();
    if (this->token_in_attempt)
    {
        this->gaps = request::observed(this->gaps, now - this->last_token);
    }
    this->token_in_attempt = true;
    this->silences = 0;
    this->last_token = now;
    this->ready.push_back({relay_event::kind::token, event.text, {}});
    return std::nullopt;
}

// A silence may be the router's own stall or an engine that is only slow. While
// no other attempt may be made, closing the connection would cut an answer that
// can still come; so another server is chosen first, and without one the wait
// goes on, each time twice as long.
std::optional<relay_event> chat_relay::retry_after_silence()
{
    auto const bound = this->next_bound();
    if (bound >= request::gap_tracker::most)
    {
        return this->retry_after_failure("silent for too long");
    }
    this->avoid.push_back(this->target.id);
    auto next = this->choose(this->answer.attempt + 1);
    if (next.verdict != routing::choice::chosen)
    {
        ++this->silences;
        return std::nullopt;
    }
    // One connection that falls silent half way says little of its server. One
    // that never gave a token, or a second one in a row, does: a server that
    // hangs has few open requests and would attract every new one.
    bool const counts = this->answer.attempt > 1 || !this->token_in_attempt;
    this->give_up_attempt("silent connection",
                          counts ? routing::attempt_result::failed
                                 : routing::attempt_result::overloaded);
    return this->open_attempt(std::move(next));
}

std::optional<relay_event>
chat_relay::retry_after_failure(std::string const& why)
{
    this->avoid.push_back(this->target.id);
    this->give_up_attempt(why, routing::attempt_result::failed);
    std::uint64_t const random = this->request.shared.ids->next_span_id().value;
    auto const pause = request::backoff(this->answer.attempt + 1, random);
    std::this_thread::sleep_for(std::chrono::milliseconds{pause.ms});
    return std::nullopt;
}

void chat_relay::give_up_attempt(std::string const& why,
                                 routing::attempt_result result)
{
    observe::log_warning(
        {"dispatch", this->request.id.value, this->target.address},
        "attempt=" + std::to_string(this->answer.attempt) + " offset=" +
            std::to_string(this->answer.next_offset) + " failed: " + why);
    this->end_attempt(result);
}

void chat_relay::end_attempt(routing::attempt_result result)
{
    if (this->open == nullptr)
    {
        return;
    }
    this->may_have_run = this->may_have_run || this->unanswered;
    // An exchange that was read to its end closes by itself and its connection
    // is kept; the rest of any other would be taken for the next answer.
    if (!this->read_to_end)
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
    if (this->answer.used)
    {
        return *this->answer.used;
    }
    if (this->answer.next_offset == 0)
    {
        return {};
    }
    return {request::estimated_prompt_tokens(this->chat.prompt_bytes),
            this->answer.next_offset};
}

} // namespace caperpath::router
