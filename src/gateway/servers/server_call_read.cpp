#include "gateway/servers/server_call.hpp"

#include "gateway/servers/server_notice.hpp"

#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>

#include <array>
#include <memory>
#include <optional>

/// Reads the response of a server, within bounds on its size.
namespace caperpath::gateway
{

namespace
{

using fleet::attempt_outcome;
using fleet::response_origin;

constexpr std::uint64_t max_buffered_response = 16ULL * 1024 * 1024;
/// Headers of chunks and the like. Each costs as much processor time as a
/// large chunk.
constexpr std::size_t max_framing_bytes = 1024ULL * 1024;
/// Parts of a body that one turn of the event loop parses; other requests wait
/// meanwhile.
constexpr int max_parts_per_turn = 256;
/// What all responses hold together; one that holds less than
/// `min_bounded_response` is never cut for it.
constexpr std::size_t max_held_by_all = 32ULL * 1024 * 1024;
constexpr std::size_t min_bounded_response = 256ULL * 1024;
/// Longer than any head, chunk header or trailer.
constexpr std::size_t max_unparsed = 65'536;
/// A server may respond once more to earlier requests of a connection.
constexpr std::size_t max_skipped = 1024ULL * 1024;
/// What a skipped response counts for beside its body.
constexpr std::size_t least_response = 1'024;
constexpr std::size_t parse_buffer_size = 16'384;

} // namespace

response_fault server_call::fault() const
{
    return this->found;
}

attempt_outcome server_call::end_with(response_fault fault)
{
    this->found = fault;
    return attempt_outcome::in_doubt;
}

/// The response to the request could still follow, but nothing shows that it
/// will, and the caller would wait for it until its deadline.
attempt_outcome server_call::end_unproven()
{
    this->current.shared.log.write_error(
        {error_kind::invalid, "read_response", this->where.server.value,
         "status " + std::to_string(this->response->get().result_int()) +
             (this->facts.is_signed ? "" : " without a signature") +
             (this->facts.request_id.empty() ? " and without an id" : "")});
    return this->end_with(response_fault::unproven);
}

/// The connection may hold more bytes, which belong to no response.
attempt_outcome
server_call::end_malformed(boost::system::error_code const& fault)
{
    auto const framing = this->response->fault();
    this->current.shared.log.write_error(
        {error_kind::invalid, "read_response", this->where.server.value,
         framing ? std::string{to_text(*framing)} : fault.message()});
    return attempt_outcome::in_doubt;
}

/// What callers have not taken of their responses, beside what is read of
/// others.
std::size_t server_call::held_by_all() const
{
    auto const& shared = this->current.shared;
    auto total = shared.buffered_bytes;
    for (auto const* const caller : shared.callers)
    {
        total += caller->unsent();
    }
    return total;
}

/// Counts what is read of the response and not passed on yet.
void server_call::count_held_bytes()
{
    auto const held = this->body.size() + this->current.events.pending_bytes();
    auto& all = this->current.shared.buffered_bytes;
    all = all - this->counted_bytes + held;
    this->counted_bytes = held;
}

/// Whether the response goes on without end, as far as memory and processor
/// time allow to wait for its end.
response_fault server_call::find_excess() const
{
    auto const unparsed = this->connection->input().size();
    auto const is_endless = unparsed > max_unparsed && !this->parsing_paused &&
                            !this->response->is_done();
    if (is_endless || this->framing_bytes > max_framing_bytes)
    {
        return response_fault::too_long;
    }
    auto const held = this->counted_bytes + this->current.caller->unsent();
    return held >= min_bounded_response && this->held_by_all() > max_held_by_all
               ? response_fault::no_memory
               : response_fault::none;
}

/// How the attempt ends if the response cannot continue; nothing if it can.
std::optional<attempt_outcome> server_call::early_end()
{
    if (caller_disconnected(this->current))
    {
        return attempt_outcome::caller_gone;
    }
    if (this->current.shared.now.now() >= this->current.deadline)
    {
        return attempt_outcome::expired;
    }
    // Input that is left may complete the response.
    auto const may_go_on =
        this->parsing_paused || (this->connection->end() == peer_end::open &&
                                 !this->has_ended_in_silence());
    return may_go_on ? std::nullopt : std::optional{attempt_outcome::in_doubt};
}

/// True if there are bytes that the parser has not seen. It takes a part of a
/// line only together with more, and of the end of the last chunk nothing less
/// than all of its five bytes.
bool server_call::has_new_input() const
{
    constexpr std::size_t last_chunk_size = 5;
    auto const size = this->connection->input().size();
    return size > this->unparsed &&
           (this->unparsed == 0 || size >= last_chunk_size);
}

/// Parses the received bytes and appends those of the body to `body`. If they
/// are many, it leaves some and lets the request wake up in another turn.
std::optional<attempt_outcome> server_call::parse_input()
{
    auto& input = this->connection->input();
    auto* const target = this->server();
    if (input.size() > 0 && target != nullptr && !this->relayed)
    {
        target->path =
            fleet::note_heard(target->path, this->current.shared.now.now());
    }
    std::array<char, parse_buffer_size> buffer{};
    auto parts = 0;
    this->parsing_paused = false;
    while (this->has_new_input() && !this->response->is_done())
    {
        if (++parts > max_parts_per_turn)
        {
            this->parsing_paused = true;
            // Not at once: others come first.
            asio::post(this->current.shared.loop,
                       [wakeup = this->current.wakeup] { wakeup->raise(); });
            break;
        }
        auto const was_in_body = this->response->is_header_done();
        auto& content = this->response->get().body();
        content.data = buffer.data();
        content.size = buffer.size();
        content.more = true;
        boost::system::error_code fault;
        auto const used = this->response->put(input.data(), fault);
        input.consume(used);
        auto const size = buffer.size() - content.size;
        this->framing_bytes += was_in_body ? used - size : 0;
        this->body.append(buffer.data(), size);
        this->unparsed = fault == http::error::need_more ? input.size() : 0;
        if (fault == http::error::need_more)
        {
            break;
        }
        if (fault && fault != http::error::need_buffer)
        {
            auto const endless = fault == http::error::header_limit ||
                                 fault == http::error::body_limit;
            return endless ? this->end_with(response_fault::too_long)
                           : this->end_malformed(fault);
        }
        if (used == 0 && content.size == buffer.size())
        {
            break;
        }
    }
    this->count_held_bytes();
    if (auto const excess = this->find_excess(); excess != response_fault::none)
    {
        return this->end_with(excess);
    }
    this->connection->resume();
    auto const finished = this->connection->end() == peer_end::finished;
    if (finished && input.size() == 0 && this->response->is_header_done() &&
        !this->response->is_done() && this->response->need_eof())
    {
        boost::system::error_code fault;
        this->response->put_eof(fault);
        if (fault)
        {
            return attempt_outcome::in_doubt;
        }
    }
    return std::nullopt;
}

/// Whose response it is, by its head: a server may respond twice to an earlier
/// request of this connection, and that response must not be taken for this
/// one.
response_origin server_call::judge_response()
{
    auto const& head = this->response->get();
    this->facts =
        this->current.shared.adapter.read_response(head, head.result_int());
    auto const& id = this->facts.request_id;
    auto const names_this = !id.empty() && id == this->current.facts.id;
    auto const origin = fleet::judge_origin(
        {static_cast<int>(head.result_int()), this->facts.is_signed, names_this,
         !id.empty() && !names_this, this->facts.not_run, this->reused});
    auto const is_skipped = origin == response_origin::interim ||
                            origin == response_origin::other_request;
    if (is_skipped && this->facts.leaves)
    {
        note_response(this->current.shared,
                      {this->where.server, this->facts, this->sent_at,
                       this->current.relay});
    }
    return origin;
}

void server_call::expect_response()
{
    this->response = std::make_unique<parser>();
    this->response->body_limit(max_buffered_response);
    // Its fields describe the body that GET would get.
    this->response->skip(this->current.request.method() == http::verb::head);
}

asio::awaitable<std::optional<attempt_outcome>> server_call::read_head()
{
    auto skipping = false;
    this->expect_response();
    while (true)
    {
        if (auto const fault = this->parse_input())
        {
            co_return fault;
        }
        if (this->response->is_header_done())
        {
            auto const origin = skipping ? response_origin::other_request
                                         : this->judge_response();
            if (origin == response_origin::unproven)
            {
                co_return this->end_unproven();
            }
            if (origin == response_origin::this_request)
            {
                co_return this->evaluate_head();
            }
            skipping = true;
            this->skipped += this->body.size();
            this->body.clear();
            if (this->skipped > max_skipped)
            {
                co_return this->end_with(response_fault::too_long);
            }
            if (this->response->is_done())
            {
                skipping = false;
                this->skipped += least_response;
                this->facts = {};
                this->expect_response();
                continue;
            }
        }
        if (auto const end = this->early_end())
        {
            co_return end;
        }
        static_cast<void>(co_await this->wait_for_more());
    }
}

} // namespace caperpath::gateway
