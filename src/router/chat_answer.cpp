#include "router/chat_answer.hpp"

#include "http/server.hpp"

#include <httplib.h>

#include <utility>

namespace caperpath::router
{

namespace
{

constexpr char json_type[] = "application/json";
constexpr std::int64_t us_per_ms = 1'000;
constexpr std::int64_t ms_per_second = 1'000;

bool send(httplib::DataSink& sink, std::string const& text)
{
    return sink.write(text.data(), text.size());
}

// A failure after dispatch: the refusal decides how the request ended.
void set_refused(filters::context& request, request::refusal refusal)
{
    request.state = filters::progress::refused;
    request.refusal = std::move(refusal);
}

} // namespace

chat_answer::chat_answer(filters::services const& shared,
                         filters::incoming given)
    : request{shared, std::move(given)}, chain{filters::request_filters(),
                                               this->request}
{
}

void chat_answer::begin(httplib::Response& response)
{
    if (!this->chain.enter())
    {
        this->chain.leave();
        write_refusal(this->request, response);
        return;
    }
    auto const& chat = std::get<request::chat_request>(this->request.work);
    this->identity = {this->request.id, chat.model,
                      this->request.shared.wall.now()};
    if (this->request.replayed)
    {
        this->begin_replay(response);
        return;
    }
    auto event = this->first_event();
    if (event.what == relay_event::kind::failed)
    {
        this->refuse(std::move(event.refusal), response);
        return;
    }
    if (!chat.stream)
    {
        this->gather_whole(std::move(event), response);
        return;
    }
    this->first = std::move(event);
    this->streaming = true;
    this->request.shared.metrics->stream_opened();
    response.set_header("X-Request-Id", this->request.id.value);
    response.set_header("Cache-Control", "no-cache");
}

bool chat_answer::streams() const
{
    return this->streaming;
}

relay_event chat_answer::first_event()
{
    auto event = this->request.relay->next();
    this->last_token = this->request.shared.time.now();
    auto const waited = this->last_token - this->request.received;
    this->request.shared.metrics->first_token(waited.ms * us_per_ms);
    return event;
}

void chat_answer::refuse(request::refusal refusal, httplib::Response& response)
{
    set_refused(this->request, std::move(refusal));
    this->chain.leave();
    write_refusal(this->request, response);
}

// The kept answer is whole; a caller that asked for a stream gets it as one
// token, which every client that joins tokens reads as the same answer.
void chat_answer::begin_replay(httplib::Response& response)
{
    auto const kept = parse_completion(this->request.answer->body);
    auto const& chat = std::get<request::chat_request>(this->request.work);
    response.set_header("X-Request-Id", this->request.id.value);
    response.set_header("Caperpath-Outcome", "completed");
    this->chain.leave();
    if (!kept || !chat.stream)
    {
        http::set_body(response, this->request.answer->body, json_type);
        return;
    }
    auto events = role_event(this->identity) +
                  token_event(this->identity, kept->text) +
                  finish_event(this->identity, kept->finish_reason);
    if (chat.include_usage)
    {
        events += usage_event(this->identity, kept->used);
    }
    http::set_body(response, events + done_event, "text/event-stream");
}

bool chat_answer::keeps_text() const
{
    auto const& chat = std::get<request::chat_request>(this->request.work);
    return !chat.stream || this->request.keeps_answer;
}

void chat_answer::gather_whole(relay_event event, httplib::Response& response)
{
    while (event.what == relay_event::kind::token)
    {
        this->request.chat_text += event.text;
        event = this->request.relay->next();
    }
    if (event.what == relay_event::kind::failed)
    {
        this->refuse(std::move(event.refusal), response);
        return;
    }
    this->complete(event.text);
    if (this->request.state != filters::progress::completed)
    {
        write_refusal(this->request, response);
        return;
    }
    response.set_header("X-Request-Id", this->request.id.value);
    response.set_header("Caperpath-Outcome", "completed");
    http::set_body(
        response,
        completion_json(this->identity, {this->request.chat_text, event.text,
                                         this->request.used}),
        json_type);
}

// Bills and keeps the answer before its last byte leaves.
void chat_answer::complete(std::string const& finish_reason)
{
    this->request.state = filters::progress::completed;
    this->request.used = this->request.relay->used();
    if (this->keeps_text())
    {
        this->request.answer = request::kept_answer{
            200, json_type,
            completion_json(
                this->identity,
                {this->request.chat_text, finish_reason, this->request.used})};
    }
    this->chain.leave();
}

bool chat_answer::write(httplib::DataSink& sink)
{
    bool const reached = this->write_answer(sink);
    if (!reached)
    {
        // The caller has gone: the engine is told to stop, and what it
        // generated until now is billed.
        this->request.state = filters::progress::abandoned;
        this->chain.leave();
        return false;
    }
    sink.done();
    return true;
}

bool chat_answer::write_answer(httplib::DataSink& sink)
{
    if (!send(sink, role_event(this->identity)))
    {
        return false;
    }
    auto event = std::move(this->first);
    while (event.what == relay_event::kind::token)
    {
        if (!this->write_token(sink, event.text))
        {
            return false;
        }
        event = this->request.relay->next();
    }
    if (event.what == relay_event::kind::finished)
    {
        return this->write_finish(sink, event.text);
    }
    this->write_failure(sink, std::move(event.refusal));
    return true;
}

bool chat_answer::write_token(httplib::DataSink& sink, std::string const& text)
{
    auto const now = this->request.shared.time.now();
    this->request.shared.metrics->token_gap((now - this->last_token).ms *
                                            us_per_ms);
    this->last_token = now;
    if (this->keeps_text())
    {
        this->request.chat_text += text;
    }
    return send(sink, token_event(this->identity, text));
}

bool chat_answer::write_finish(httplib::DataSink& sink,
                               std::string const& reason)
{
    auto const& chat = std::get<request::chat_request>(this->request.work);
    auto events = finish_event(this->identity, reason);
    if (chat.include_usage)
    {
        events += usage_event(this->identity, this->request.relay->used());
    }
    // From here on the answer is whole, so it is billed as such even when the
    // caller leaves before the last event.
    bool const reached = send(sink, events);
    this->complete(reason);
    if (this->request.state != filters::progress::completed)
    {
        send(sink, error_event(*this->request.refusal));
        return true;
    }
    if (reached)
    {
        send(sink, done_event);
    }
    return true;
}

void chat_answer::write_failure(httplib::DataSink& sink,
                                request::refusal refusal)
{
    // Part of an answer has been given: never "not-run".
    refusal.kind = request::outcome::unknown;
    auto const event = error_event(refusal);
    set_refused(this->request, std::move(refusal));
    this->chain.leave();
    send(sink, event);
}

void chat_answer::end()
{
    if (std::exchange(this->streaming, false))
    {
        this->request.shared.metrics->stream_closed();
    }
    if (this->request.state == filters::progress::open)
    {
        this->request.state = filters::progress::abandoned;
    }
    this->chain.leave();
}

void write_refusal(filters::context const& request, httplib::Response& response)
{
    auto const& refusal = *request.refusal;
    response.status = refusal.status;
    if (!request.id.value.empty())
    {
        response.set_header("X-Request-Id", request.id.value);
    }
    response.set_header("Caperpath-Outcome",
                        std::string{request::to_string(refusal.kind)});
    if (refusal.retry_after.ms > 0)
    {
        auto const seconds =
            (refusal.retry_after.ms + ms_per_second - 1) / ms_per_second;
        response.set_header("Retry-After", std::to_string(seconds));
    }
    http::set_body(response, error_json(refusal), json_type);
}

} // namespace caperpath::router
