#include "gateway/servers/server_call.hpp"

#include "gateway/crashes/crash_handling.hpp"
#include "gateway/requests/head_text.hpp"
#include "gateway/run_part.hpp"
#include "gateway/servers/server_notice.hpp"
#include "gateway/servers/timed_connect.hpp"

#include <caperpath/base/http_status.hpp>

#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>

#include <algorithm>
#include <utility>

namespace caperpath::gateway
{

namespace
{

using fleet::attempt_outcome;

constexpr duration default_idle_timeout{5'000};
constexpr duration idle_margin{500};

fleet::body_framing
framing_of(response_parser<http::buffer_body> const& response)
{
    if (response.need_eof())
    {
        return fleet::body_framing::connection;
    }
    return response.chunked() ? fleet::body_framing::chunks
                              : fleet::body_framing::length;
}

} // namespace

server_call::server_call(exchange& current, fleet::placement const& where)
    : current{current}, where{where}, silence{current.shared, where.server,
                                              current.wakeup}
{
}

server_call::~server_call()
{
    // An exception of a destructor would end the process.
    auto& log = this->current.shared.log;
    run_part(log, "report outcome",
             [this]
             {
                 this->report_outcome(this->sent_at == instant{}
                                          ? fleet::send_outcome::not_sent
                                          : fleet::send_outcome::unknown);
             });
    auto* const target = this->server();
    if (this->counted_open && target != nullptr)
    {
        target->own.open -= 1;
        if (target->own.open == 0)
        {
            target->path.unanswered_since = {};
        }
        target->own.in_memory -=
            this->current.work.prompt_tokens + this->current.work.output_tokens;
    }
    this->current.shared.buffered_bytes -= this->counted_bytes;
    if (this->counted_unread && target != nullptr)
    {
        target->own.unread -= this->current.work.prompt_tokens;
    }
    if (this->connection)
    {
        this->current.left_unsent = this->connection->unsent();
        run_part(log, "end of connection",
                 [this] {
                     this->current.server_end = this->connection->end_detail();
                 });
        if (!run_part(log, "release connection",
                      [this] { this->release_connection(); }))
        {
            run_part(log, "close connection",
                     [this] { this->connection->close(true); });
        }
    }
}

fleet::server* server_call::server()
{
    auto& all = this->current.shared.servers.servers;
    auto const found = all.find(this->where.server);
    return found == all.end() ? nullptr : &found->second;
}

void server_call::release_connection()
{
    auto const keep_idle =
        this->facts.idle_timeout.value_or(default_idle_timeout) - idle_margin;
    if (this->reusable && !this->relayed && this->connection->unsent() == 0 &&
        keep_idle > duration{0})
    {
        // A server that has not read a long body yet may still do so.
        if (this->connection->is_acknowledged())
        {
            this->connection->set_silence_timeout(peer_silence_timeout);
        }
        this->current.shared.pool.release(this->where.server, this->connection,
                                          keep_idle);
        return;
    }
    // Closing the connection makes the server cancel the request.
    this->connection->set_waker(nullptr);
    this->connection->close(!this->reusable);
}

asio::awaitable<attempt_outcome> server_call::run()
{
    this->current.step = "limit";
    if (auto const end = co_await this->wait_for_limit())
    {
        co_return *end;
    }
    this->current.step = "connect";
    if (auto const end = co_await this->connect())
    {
        co_return *end;
    }
    this->current.step = "permit";
    if (auto const end = co_await this->wait_for_permit())
    {
        co_return *end;
    }
    this->current.step = "wait_for_answer";
    this->send();
    if (auto const end = co_await this->read_head())
    {
        co_return *end;
    }
    this->current.step = "relay";
    auto const events =
        this->current.route->kind == fleet::request_kind::streaming &&
        this->response->get().result_int() == http_ok && !this->has_no_body();
    if (this->current.response_started && !events)
    {
        // Part of a stream was already sent; another head cannot follow.
        co_return attempt_outcome::in_doubt;
    }
    if (events)
    {
        co_return co_await this->relay_events();
    }
    co_return co_await this->relay_whole();
}

void server_call::send()
{
    auto& shared = this->current.shared;
    auto const now = shared.now.now();
    this->sent_at = now;
    this->current.sent_after = now - this->current.arrived;
    http::request<http::empty_body> head;
    // Not as an enumerator: most methods have none.
    head.method_string(this->current.request.method_string());
    head.target(this->current.request.target());
    for (auto const& field : this->current.request)
    {
        head.insert(field.name(), field.name_string(), field.value());
    }
    dispatch_facts details;
    details.time_left = std::max(duration{1}, this->current.deadline - now);
    details.server = this->where.server;
    if (this->current.customer != nullptr)
    {
        details.customer = this->current.customer->id;
    }
    details.has_priority = this->current.route->has_prompt;
    auto const priority = this->current.customer != nullptr
                              ? this->current.customer->priority
                              : std::nullopt;
    details.priority = priority.value_or(this->current.route->priority);
    details.resume_after = this->current.events.last_id();
    shared.adapter.prepare_request(head, details);
    auto const& content = this->current.request.body();
    auto const had_body = this->current.request.has_content_length() ||
                          this->current.request.chunked() || !content.empty();
    if (had_body)
    {
        head.set(http::field::content_length, std::to_string(content.size()));
    }
    record_evidence_at_send(this->current);
    auto const bytes = head_text(head) + content;
    // Counted first: what fails from here on may have been sent.
    auto const is_retry = this->current.possible_deliveries > 0;
    this->current.possible_deliveries += 1;
    this->prepare_for_silence(bytes.size());
    this->connection->send(bytes);
    shared.metrics.sent(is_retry, this->relayed);
    this->current.retry_charged = false;
    this->current.running_at = this->where.server;
    if (auto* const target = this->server())
    {
        this->current.server_version = target->entry.version;
        this->current.server_born_ms = target->entry.born_ms;
        note_stream_send(this->current);
        if (fleet::is_cold(*target, now))
        {
            target->while_cold =
                fleet::note_cold_send(std::move(target->while_cold), now);
        }
        if (!this->relayed)
        {
            target->path = fleet::note_sent(target->path, now);
        }
        target->own.open += 1;
        target->own.in_memory +=
            this->current.work.prompt_tokens + this->current.work.output_tokens;
        target->own.unread += this->current.work.prompt_tokens;
        this->counted_open = true;
        this->counted_unread = true;
    }
    shared.prompts.note(this->where.server, this->current.work.shared_part,
                        now);
}

/// How the attempt ends if the head alone decides it; nothing if the response
/// is to be relayed.
std::optional<attempt_outcome> server_call::evaluate_head()
{
    auto const status = static_cast<int>(this->response->get().result_int());
    note_response(this->current.shared, {this->where.server, this->facts,
                                         this->sent_at, this->current.relay});
    auto* const target = this->server();
    auto const now = this->current.shared.now.now();
    if (target != nullptr && this->facts.load)
    {
        target->report = *this->facts.load;
        target->reported_at = now;
    }
    if (target != nullptr && !this->facts.wrong_server)
    {
        fleet::note_cold(*target, this->facts.warm_up_left, now);
    }
    if (!this->facts.wrong_server)
    {
        this->current.shared.send_limits.note_response(
            this->where.server, this->facts.requests_per_second, this->sent_at);
        this->current.shared.rejections.note_response(
            this->current.work.service, this->facts.rejections_per_second,
            this->sent_at);
    }
    this->report_outcome(this->facts.not_run && !this->facts.wrong_server
                             ? fleet::send_outcome::rejected
                             : fleet::send_outcome::accepted);
    this->reusable = this->response->is_done() &&
                     this->response->keep_alive() &&
                     this->connection->input().size() == 0;
    if (this->facts.not_run)
    {
        if (target != nullptr && this->facts.wrong_server)
        {
            fleet::note_replaced(*target, now);
        }
        return this->facts.wrong_server ? attempt_outcome::wrong_server
                                        : attempt_outcome::not_run;
    }
    this->current.prompt_started = true;
    this->current.framing = framing_of(*this->response);
    this->current.ended_in_event = false;
    this->current.server_after_end.reset();
    if (status >= http_server_error && this->may_fail_over())
    {
        return attempt_outcome::failed;
    }
    return std::nullopt;
}

bool server_call::may_fail_over()
{
    auto& shared = this->current.shared;
    auto state = this->current.attempts;
    state.runs += 1;
    state.sends += 1;
    auto const now = shared.now.now();
    return fleet::may_try_another_server(state, attempt_outcome::failed) &&
           this->current.deadline - now > this->where.expected &&
           shared.retries.allows(this->current.work.service,
                                 shared.membership.retry_sharers(),
                                 shared.boot_time.now());
}

} // namespace caperpath::gateway
