#include "gateway/server_call.hpp"

#include "gateway/head_text.hpp"

#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>

#include <utility>

/// How a server's answer is passed on to the caller.
namespace caperpath::gateway
{

namespace
{

using fleet::attempt_end;

/// Bytes that a slow caller may leave unread before its stream waits.
constexpr std::size_t most_unsent = 65'536;

std::string chunk(std::string const& bytes)
{
    return boost::beast::buffers_to_string(
        http::make_chunk(asio::buffer(bytes)));
}

std::string last_chunk()
{
    return boost::beast::buffers_to_string(http::make_chunk_last());
}

} // namespace

asio::awaitable<attempt_end> server_call::pass_whole()
{
    while (!this->answer->is_done())
    {
        if (auto const fault = this->parse_more())
        {
            co_return *fault;
        }
        if (this->answer->is_done())
        {
            break;
        }
        if (auto const end = this->ended_early())
        {
            co_return *end;
        }
        static_cast<void>(co_await sleep(this->of, this->of.deadline));
    }
    if (caller_left(this->of))
    {
        co_return attempt_end::caller_gone;
    }
    this->note_first_part();
    this->clean =
        this->answer->keep_alive() && this->connection->input().size() == 0;
    this->begin_answer(false);
    co_return attempt_end::answered;
}

void server_call::begin_answer(bool chunked)
{
    auto const& from = this->answer->get();
    http::response<http::empty_body> head{from.result(), 11};
    head.reason(from.reason());
    for (auto const& field : from)
    {
        head.insert(field.name(), field.name_string(), field.value());
    }
    this->of.shared.names.prepare_answer(head);
    this->of.keep_connection =
        this->of.keep_connection && !this->of.shared.stop;
    if (!this->of.keep_connection)
    {
        head.set(http::field::connection, "close");
    }
    this->of.answer_begun = true;
    this->of.status = static_cast<int>(from.result_int());
    if (chunked)
    {
        head.set(http::field::transfer_encoding, "chunked");
        this->of.caller->send(head_text(head));
        return;
    }
    head.set(http::field::content_length, std::to_string(this->body.size()));
    this->of.caller->send(head_text(head) + this->body);
}

void server_call::pass_piece(std::string const& piece)
{
    if (piece.empty())
    {
        return;
    }
    this->note_first_part();
    if (!this->of.answer_begun)
    {
        this->begin_answer(true);
    }
    this->of.caller->send(chunk(piece));
}

asio::awaitable<attempt_end> server_call::pass_events()
{
    while (true)
    {
        // A caller that does not read holds its stream back, not the memory.
        auto const may_read = this->of.caller->unsent() <= most_unsent;
        auto const fault = may_read ? this->parse_more() : std::nullopt;
        this->pass_piece(this->of.events.feed(std::exchange(this->body, {})));
        if (this->answer->is_done())
        {
            break;
        }
        auto const end = fault || !may_read ? fault : this->ended_early();
        if (end)
        {
            static_cast<void>(this->of.events.take_rest());
            co_return *end;
        }
        auto const in_time = co_await sleep(this->of, this->of.deadline);
        if (!in_time || caller_left(this->of))
        {
            static_cast<void>(this->of.events.take_rest());
            co_return in_time ? attempt_end::caller_gone : attempt_end::expired;
        }
    }
    this->pass_piece(this->of.events.take_rest());
    if (!this->of.answer_begun)
    {
        this->begin_answer(true);
    }
    this->of.caller->send(last_chunk());
    this->clean =
        this->answer->keep_alive() && this->connection->input().size() == 0;
    co_return attempt_end::answered;
}

} // namespace caperpath::gateway
