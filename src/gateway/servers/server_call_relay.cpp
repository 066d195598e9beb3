#include "gateway/servers/server_call.hpp"

#include "gateway/requests/head_text.hpp"
#include "gateway/spawn.hpp"

#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>

#include <algorithm>
#include <memory>
#include <utility>

/// Relays the response of a server to the caller.
namespace caperpath::gateway
{

namespace
{

using fleet::attempt_outcome;

/// Reading from the server pauses while a slow caller has more unsent bytes
/// than this.
constexpr std::size_t max_unsent = 65'536;
/// Events hold a few tokens each.
constexpr std::size_t max_event = 1024ULL * 1024;

constexpr unsigned http_11 = 11;
constexpr unsigned no_content = 204;
constexpr unsigned not_modified = 304;

std::string chunk(std::string const& bytes)
{
    return boost::beast::buffers_to_string(
        http::make_chunk(asio::buffer(bytes)));
}

bool is_event_stream(response_parser<http::buffer_body> const& response)
{
    auto const type = response.get()[http::field::content_type];
    return boost::beast::iequals(type.substr(0, type.find(';')),
                                 "text/event-stream");
}

std::string last_chunk()
{
    return boost::beast::buffers_to_string(http::make_chunk_last());
}

/// A running server accepts a connection within milliseconds. Without a result
/// a response is taken for complete, since its server closed it in order.
constexpr duration max_presence_wait{250};
/// How often to look whether a server has taken more of a request.
constexpr duration request_check_interval{50};

} // namespace

void server_call::record_first_part()
{
    if (this->first_part_at)
    {
        return;
    }
    auto& shared = this->current.shared;
    auto const now = shared.now.now();
    this->first_part_at = now;
    this->latest_part_at = now;
    shared.metrics.server_first_part((now - this->sent_at).ms);
    if (!this->current.first_part)
    {
        this->current.first_part = now - this->current.arrived;
        shared.metrics.first_part(this->current.first_part->ms);
    }
    auto* const target = this->server();
    if (target == nullptr)
    {
        return;
    }
    // Over a relay the time says nothing about the server alone.
    if (!this->relayed)
    {
        fleet::note_success(*target, now - this->sent_at, this->where.expected);
    }
    if (this->counted_unread)
    {
        target->own.unread -= this->current.work.prompt_tokens;
        this->counted_unread = false;
    }
}

asio::awaitable<attempt_outcome> server_call::relay_whole()
{
    while (!this->response->is_done())
    {
        if (auto const fault = this->parse_input())
        {
            co_return *fault;
        }
        if (this->response->is_done())
        {
            break;
        }
        if (auto const end = this->early_end())
        {
            co_return *end;
        }
        static_cast<void>(co_await this->wait_for_more());
    }
    if (co_await this->broken_off())
    {
        co_return attempt_outcome::in_doubt;
    }
    if (caller_disconnected(this->current))
    {
        co_return attempt_outcome::caller_gone;
    }
    this->record_first_part();
    this->reusable =
        this->response->keep_alive() && this->connection->input().size() == 0;
    this->start_response(false);
    co_return attempt_outcome::responded;
}

/// True if the response ends with its head, whatever its fields say.
bool server_call::has_no_body() const
{
    auto const status = this->response->get().result_int();
    return this->current.request.method() == http::verb::head ||
           status == no_content || status == not_modified;
}

void server_call::start_response(bool chunked)
{
    auto const& from = this->response->get();
    http::response<http::empty_body> head;
    // Not as an enumerator: most numbers have none.
    head.result(from.result_int());
    head.reason(from.reason());
    for (auto const& field : from)
    {
        head.insert(field.name(), field.name_string(), field.value());
    }
    this->current.shared.adapter.prepare_response(head);
    this->current.keep_connection =
        this->current.keep_connection && !this->current.shared.stop;
    if (!this->current.keep_connection)
    {
        head.set(http::field::connection, "close");
    }
    this->current.response_started = true;
    this->current.status = static_cast<int>(from.result_int());
    if (chunked && this->current.request.version() < http_11)
    {
        this->current.ends_with_connection = true;
        this->current.caller->send(head_text(head));
        return;
    }
    if (chunked)
    {
        head.set(http::field::transfer_encoding, "chunked");
        this->current.caller->send(head_text(head));
        return;
    }
    if (!this->has_no_body())
    {
        head.set(http::field::content_length,
                 std::to_string(this->body.size()));
    }
    else if (auto const length = this->response->content_length();
             length && from.result_int() != no_content)
    {
        // Of the body that is not sent.
        head.set(http::field::content_length, std::to_string(*length));
    }
    this->current.caller->send(head_text(head) + this->body);
}

void server_call::record_gap()
{
    auto const& shared = this->current.shared;
    auto const now = shared.now.now();
    auto const length = now - std::exchange(this->latest_part_at, now);
    if (length > this->current.longest_gap.length)
    {
        this->current.longest_gap = {length, longest_wait(shared.delay, now),
                                     this->current.caller->unsent()};
    }
}

void server_call::relay_part(std::string const& part)
{
    if (part.empty())
    {
        return;
    }
    this->record_first_part();
    this->record_gap();
    if (!this->version_noted)
    {
        this->version_noted = true;
        note_stream_version(this->current);
    }
    if (!this->current.response_started)
    {
        this->start_response(true);
    }
    this->current.caller->send(
        this->current.ends_with_connection ? part : chunk(part));
}

void server_call::drop_incomplete_event()
{
    this->current.ended_in_event = this->current.events.in_event();
    static_cast<void>(this->current.events.take_rest());
    this->count_held_bytes();
}

/// Waits until the server has taken the whole request. One that responds before
/// that and ends its connection may go on reading; otherwise it breaks off, and
/// a reset follows the end of its response. False if it does not take it all.
asio::awaitable<bool> server_call::takes_whole_request()
{
    while (this->connection->unacknowledged() > 0)
    {
        auto const now = this->current.shared.now.now();
        if (this->connection->end() == peer_end::broken ||
            this->connection->was_reset() || this->accepts_nothing() ||
            now >= this->current.deadline || caller_disconnected(this->current))
        {
            co_return false;
        }
        static_cast<void>(co_await wait_until(
            this->current,
            std::min(this->current.deadline, now + request_check_interval)));
    }
    co_return this->connection->end() != peer_end::broken;
}

/// True if the server broke off the response, which has ended by its framing.
/// The kernel of a crashed server closes connections in order, so without a
/// length or chunks only the server's presence tells, and whether a reset
/// follows.
asio::awaitable<bool> server_call::broken_off()
{
    auto const end = fleet::judge_end(
        *this->current.framing,
        {is_event_stream(*this->response), this->current.events.in_event()});
    if (end != fleet::body_end::unproven)
    {
        co_return end == fleet::body_end::truncated;
    }
    if (!co_await this->takes_whole_request())
    {
        co_return true;
    }
    auto& shared = this->current.shared;
    auto const result = std::make_shared<presence_result>();
    result->wakeup = this->current.wakeup;
    spawn(shared.loop, find_presence(shared, this->where.server, result),
          "find_presence", shared.log);
    auto const until =
        std::min(this->current.deadline, shared.now.now() + max_presence_wait);
    while (!result->presence && shared.now.now() < until &&
           !caller_disconnected(this->current))
    {
        static_cast<void>(co_await wait_until(this->current, until));
    }
    this->current.server_after_end =
        result->presence.value_or(server_presence::unknown);
    auto const* const target = this->server();
    // A draining server may exit after its last response.
    auto const is_gone =
        this->current.server_after_end == server_presence::gone &&
        target != nullptr && !fleet::is_draining(*target, shared.now.now());
    co_return is_gone || this->connection->was_reset();
}

asio::awaitable<attempt_outcome> server_call::relay_events()
{
    while (true)
    {
        // Back-pressure: a caller that does not read delays its stream and does
        // not use up memory.
        auto const may_read = this->current.caller->unsent() <= max_unsent;
        auto const fault = may_read ? this->parse_input() : std::nullopt;
        this->relay_part(
            this->current.events.feed(std::exchange(this->body, {})));
        this->count_held_bytes();
        if (this->response->is_done())
        {
            break;
        }
        if (this->current.events.pending_bytes() > max_event)
        {
            this->drop_incomplete_event();
            co_return this->end_with(response_fault::too_long);
        }
        // While reading pauses, unread input may still complete the response,
        // so a closed connection does not end it.
        auto const end = fault || !may_read ? fault : this->early_end();
        if (end)
        {
            this->drop_incomplete_event();
            co_return *end;
        }
        auto const in_time = co_await this->wait_for_more();
        if (!in_time || caller_disconnected(this->current))
        {
            this->drop_incomplete_event();
            co_return in_time ? attempt_outcome::caller_gone
                              : attempt_outcome::expired;
        }
    }
    if (co_await this->broken_off())
    {
        this->drop_incomplete_event();
        co_return attempt_outcome::in_doubt;
    }
    if (caller_disconnected(this->current))
    {
        co_return attempt_outcome::caller_gone;
    }
    this->relay_part(this->current.events.take_rest());
    if (!this->current.response_started)
    {
        this->start_response(true);
    }
    if (!this->current.ends_with_connection)
    {
        this->current.caller->send(last_chunk());
    }
    this->current.response_complete = true;
    this->reusable =
        this->response->keep_alive() && this->connection->input().size() == 0;
    co_return attempt_outcome::responded;
}

} // namespace caperpath::gateway
