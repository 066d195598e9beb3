#include "gateway/servers/server_call.hpp"

#include "gateway/servers/server_notice.hpp"

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
/// With the headers of chunks.
constexpr std::size_t max_response_bytes = max_buffered_response + 1024 * 1024;
/// Bodies of all responses together; one below `min_bounded_body` is never cut
/// for it.
constexpr std::size_t max_buffered_bodies = 32ULL * 1024 * 1024;
constexpr std::size_t min_bounded_body = 256ULL * 1024;
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

attempt_outcome server_call::end_over_bounds()
{
    this->found = response_fault::too_long;
    return attempt_outcome::in_doubt;
}

/// The response to the request could still follow, but nothing shows that it
/// will, and the caller would wait for it until its deadline.
attempt_outcome server_call::end_unproven()
{
    this->found = response_fault::unproven;
    this->current.shared.log.write_error(
        {error_kind::invalid, "read_response", this->where.server.value,
         "status " + std::to_string(this->response->get().result_int()) +
             (this->facts.is_signed ? "" : " without a signature") +
             (this->facts.request_id.empty() ? " and without an id" : "")});
    return attempt_outcome::in_doubt;
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

/// True if the response goes on without end, as far as memory allows to wait
/// for its end.
bool server_call::is_too_long() const
{
    auto const unparsed = this->connection->input().size();
    auto const shares_memory =
        this->body.size() >= min_bounded_body &&
        this->current.shared.buffered_bytes > max_buffered_bodies;
    return shares_memory || this->received > max_response_bytes ||
           (unparsed > max_unparsed && !this->response->is_done());
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
    return this->connection->end() == peer_end::open &&
                   !this->has_ended_in_silence()
               ? std::nullopt
               : std::optional{attempt_outcome::in_doubt};
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

/// Parses the received bytes and appends those of the body to `body`.
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
    while (this->has_new_input() && !this->response->is_done())
    {
        auto& content = this->response->get().body();
        content.data = buffer.data();
        content.size = buffer.size();
        content.more = true;
        boost::system::error_code fault;
        auto const used = this->response->put(input.data(), fault);
        input.consume(used);
        this->received += used;
        this->body.append(buffer.data(), buffer.size() - content.size);
        this->unparsed = fault == http::error::need_more ? input.size() : 0;
        if (fault == http::error::need_more)
        {
            break;
        }
        if (fault && fault != http::error::need_buffer)
        {
            auto const endless = fault == http::error::header_limit ||
                                 fault == http::error::body_limit;
            return endless ? this->end_over_bounds()
                           : this->end_malformed(fault);
        }
        if (used == 0 && content.size == buffer.size())
        {
            break;
        }
    }
    auto& buffered = this->current.shared.buffered_bytes;
    buffered = buffered - this->counted_bytes + this->body.size();
    this->counted_bytes = this->body.size();
    if (this->is_too_long())
    {
        return this->end_over_bounds();
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
         !id.empty() && !names_this, this->facts.not_run});
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
                co_return this->end_over_bounds();
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
