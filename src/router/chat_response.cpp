#include "router/chat_response.hpp"

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

// Records a failure after dispatch, which decides how the request ended.
void set_rejected(filters::context& request, request::rejection rejection)
{
    request.state = filters::progress::rejected;
    request.rejection = std::move(rejection);
}

} // namespace

chat_response::chat_response(filters::request_dependencies const& shared,
                             filters::incoming given)
    : request{shared, std::move(given)}, chain{filters::request_filters(),
                                               this->request}
{
}

void chat_response::begin(httplib::Response& response)
{
    if (!this->chain.enter())
    {
        this->chain.leave();
        write_rejection(this->request, response);
        return;
    }
    auto const& chat =
        std::get<request::chat_request>(this->request.parsed_request);
    this->identity = {this->request.id, chat.model,
                      this->request.shared.wall.now()};
    if (this->request.replayed)
    {
        this->begin_replay(response);
        return;
    }
    auto event = this->first_event();
    if (event.type == relay_event::kind::failed)
    {
        this->reject(std::move(event.rejection), response);
        return;
    }
    if (!chat.stream)
    {
        this->collect_response(std::move(event), response);
        return;
    }
    this->first = std::move(event);
    this->streaming = true;
    this->request.shared.metrics->stream_opened();
    response.set_header("X-Request-Id", this->request.id.value);
    response.set_header("Cache-Control", "no-cache");
}

bool chat_response::streams() const
{
    return this->streaming;
}

relay_event chat_response::first_event()
{
    auto event = this->request.relay->next();
    this->last_token = this->request.shared.time.now();
    auto const waited = this->last_token - this->request.received;
    this->request.shared.metrics->first_token(waited.ms * us_per_ms);
    return event;
}

void chat_response::reject(request::rejection rejection,
                           httplib::Response& response)
{
    set_rejected(this->request, std::move(rejection));
    this->chain.leave();
    write_rejection(this->request, response);
}

// The stored response is complete. A caller that requested a stream gets it as
// one token, which a client that joins tokens reads as the same text.
void chat_response::begin_replay(httplib::Response& response)
{
    auto const stored = parse_completion(this->request.response->body);
    auto const& chat =
        std::get<request::chat_request>(this->request.parsed_request);
    response.set_header("X-Request-Id", this->request.id.value);
    response.set_header("Caperpath-Outcome", "completed");
    this->chain.leave();
    if (!stored || !chat.stream)
    {
        http::set_body(response, this->request.response->body, json_type);
        return;
    }
    auto events = role_event(this->identity) +
                  token_event(this->identity, stored->text) +
                  finish_event(this->identity, stored->finish_reason);
    if (chat.include_usage)
    {
        events += usage_event(this->identity, stored->used);
    }
    http::set_body(response, events + done_event, "text/event-stream");
}

bool chat_response::collects_text() const
{
    auto const& chat =
        std::get<request::chat_request>(this->request.parsed_request);
    return !chat.stream || this->request.stores_response;
}

void chat_response::collect_response(relay_event event,
                                     httplib::Response& response)
{
    while (event.type == relay_event::kind::token)
    {
        this->request.chat_text += event.text;
        event = this->request.relay->next();
    }
    if (event.type == relay_event::kind::failed)
    {
        this->reject(std::move(event.rejection), response);
        return;
    }
    this->complete(event.text);
    if (this->request.state != filters::progress::completed)
    {
        write_rejection(this->request, response);
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

// Bills and stores the response before its last byte is sent.
void chat_response::complete(std::string const& finish_reason)
{
    this->request.state = filters::progress::completed;
    this->request.used = this->request.relay->used();
    if (this->collects_text())
    {
        this->request.response = request::stored_response{
            200, json_type,
            completion_json(
                this->identity,
                {this->request.chat_text, finish_reason, this->request.used})};
    }
    this->chain.leave();
}

bool chat_response::write(httplib::DataSink& sink)
{
    bool const reached = this->write_events(sink);
    if (!reached)
    {
        // The caller has disconnected: cancels the engine's run and bills the
        // tokens generated so far.
        this->request.state = filters::progress::abandoned;
        this->chain.leave();
        return false;
    }
    sink.done();
    return true;
}

bool chat_response::write_events(httplib::DataSink& sink)
{
    if (!send(sink, role_event(this->identity)))
    {
        return false;
    }
    auto event = std::move(this->first);
    while (event.type == relay_event::kind::token)
    {
        if (!this->write_token(sink, event.text))
        {
            return false;
        }
        event = this->request.relay->next();
    }
    if (event.type == relay_event::kind::finished)
    {
        return this->write_finish(sink, event.text);
    }
    this->write_failure(sink, std::move(event.rejection));
    return true;
}

bool chat_response::write_token(httplib::DataSink& sink,
                                std::string const& text)
{
    auto const now = this->request.shared.time.now();
    this->request.shared.metrics->token_gap((now - this->last_token).ms *
                                            us_per_ms);
    this->last_token = now;
    if (this->collects_text())
    {
        this->request.chat_text += text;
    }
    return send(sink, token_event(this->identity, text));
}

bool chat_response::write_finish(httplib::DataSink& sink,
                                 std::string const& reason)
{
    auto const& chat =
        std::get<request::chat_request>(this->request.parsed_request);
    auto events = finish_event(this->identity, reason);
    if (chat.include_usage)
    {
        events += usage_event(this->identity, this->request.relay->used());
    }
    // The response is complete now, so it is billed as such even if the caller
    // disconnects before the last event.
    bool const reached = send(sink, events);
    this->complete(reason);
    if (this->request.state != filters::progress::completed)
    {
        send(sink, error_event(*this->request.rejection));
        return true;
    }
    if (reached)
    {
        send(sink, done_event);
    }
    return true;
}

void chat_response::write_failure(httplib::DataSink& sink,
                                  request::rejection rejection)
{
    // The caller got part of the response, so the outcome is never "not-run".
    rejection.kind = request::outcome::unknown;
    auto const event = error_event(rejection);
    set_rejected(this->request, std::move(rejection));
    this->chain.leave();
    send(sink, event);
}

void chat_response::end()
{
    if (std::exchange(this->streaming, false))
    {
        this->request.shared.metrics->stream_closed();
    }
    if (this->request.state == filters::progress::in_progress)
    {
        this->request.state = filters::progress::abandoned;
    }
    this->chain.leave();
}

void write_rejection(filters::context const& request,
                     httplib::Response& response)
{
    auto const& rejection = *request.rejection;
    response.status = rejection.status;
    if (!request.id.value.empty())
    {
        response.set_header("X-Request-Id", request.id.value);
    }
    response.set_header("Caperpath-Outcome",
                        std::string{request::to_string(rejection.kind)});
    if (rejection.retry_after.ms > 0)
    {
        auto const seconds =
            (rejection.retry_after.ms + ms_per_second - 1) / ms_per_second;
        response.set_header("Retry-After", std::to_string(seconds));
    }
    http::set_body(response, error_json(rejection), json_type);
}

} // namespace caperpath::router
