#include "gateway/server_call.hpp"

#include "gateway/head_text.hpp"

#include <caperpath/base/http_status.hpp>

#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace caperpath::gateway
{

namespace
{

using fleet::attempt_end;

constexpr std::uint64_t largest_whole_answer = 16ULL * 1024 * 1024;
constexpr std::size_t piece_size = 16'384;
/// A kept connection may have been dropped on the way without notice; the
/// longer it was idle the likelier. A request that may run again is tried again
/// then, one that may not is lost, so it takes fresh connections only.
constexpr duration idle_for_repeatable{4'000};
constexpr duration idle_for_single{1'000};
constexpr duration usual_idle_timeout{5'000};
constexpr duration idle_margin{500};
constexpr int first_final_status = 200;

} // namespace

server_call::server_call(exchange& of, fleet::placement const& where)
    : of{of}, where{where}
{
}

server_call::~server_call()
{
    auto* const one = this->server();
    if (this->counted && one != nullptr)
    {
        one->own.open -= 1;
        one->own.in_memory -=
            this->of.work.prompt_tokens + this->of.work.output_tokens;
    }
    if (this->unread_counted && one != nullptr)
    {
        one->own.unread -= this->of.work.prompt_tokens;
    }
    if (this->connection)
    {
        this->finish_connection();
    }
}

fleet::server* server_call::server()
{
    auto& all = this->of.shared.servers.servers;
    auto const found = all.find(this->where.server);
    return found == all.end() ? nullptr : &found->second;
}

void server_call::finish_connection()
{
    auto const idle_for =
        this->facts.idle_timeout.value_or(usual_idle_timeout) - idle_margin;
    if (this->clean && this->connection->unsent() == 0 &&
        idle_for > duration{0})
    {
        this->of.shared.pool.give_back(this->where.server, this->connection,
                                       idle_for);
        return;
    }
    // Closing is what tells the server to stop the work.
    this->connection->notify(nullptr);
    this->connection->close(!this->clean);
}

asio::awaitable<attempt_end> server_call::run()
{
    this->of.step = "connect";
    if (auto const end = co_await this->connect())
    {
        co_return *end;
    }
    this->of.step = "wait_for_answer";
    this->send();
    if (auto const end = co_await this->read_head())
    {
        co_return *end;
    }
    this->of.step = "relay";
    auto const events =
        this->of.route->kind == fleet::request_kind::streaming &&
        this->answer->get().result_int() == http_ok;
    if (this->of.answer_begun && !events)
    {
        // The caller has half of a stream already; another head cannot follow.
        co_return attempt_end::in_doubt;
    }
    if (events)
    {
        co_return co_await this->pass_events();
    }
    co_return co_await this->pass_whole();
}

bool server_call::lost_connection() const
{
    return this->connection && this->connection->end() != peer_end::open;
}

asio::awaitable<std::optional<attempt_end>> server_call::connect()
{
    auto& shared = this->of.shared;
    auto const* const one = this->server();
    auto const max_idle = fleet::may_run_again(this->of.attempts)
                              ? idle_for_repeatable
                              : idle_for_single;
    auto const time_left = this->of.deadline - shared.now.now();
    this->connection = co_await shared.pool.take(
        this->where.server, one->entry.address, max_idle, time_left);
    auto* const after = this->server();
    if (!this->connection)
    {
        // Given up for want of time it says nothing about the server.
        if (after != nullptr && this->of.deadline > shared.now.now())
        {
            fleet::note_failure(*after, true, shared.now.now());
            shared.pool.forget(this->where.server);
        }
        shared.log.write(log_weight::notable, "connect",
                         {{"request", this->of.facts.id},
                          {"server", this->where.server.value},
                          {"outcome", "not_reached"}});
        co_return attempt_end::not_reached;
    }
    if (caller_left(this->of))
    {
        this->clean = true;
        co_return attempt_end::caller_gone;
    }
    // It may have begun to leave while the connection was made.
    if (after == nullptr || fleet::is_leaving(*after, shared.now.now()))
    {
        this->clean = true;
        co_return attempt_end::not_reached;
    }
    this->connection->notify(this->of.sleeper);
    co_return std::nullopt;
}

void server_call::send()
{
    auto& shared = this->of.shared;
    auto const now = shared.now.now();
    this->sent_at = now;
    http::request<http::empty_body> head{this->of.request.method(),
                                         this->of.request.target(), 11};
    for (auto const& field : this->of.request)
    {
        head.insert(field.name(), field.name_string(), field.value());
    }
    dispatch_facts tell;
    tell.time_left = std::max(duration{1}, this->of.deadline - now);
    tell.server = this->where.server;
    if (this->of.customer != nullptr)
    {
        tell.customer = this->of.customer->id;
    }
    tell.has_priority = this->of.route->has_prompt;
    auto const priority = this->of.customer != nullptr
                              ? this->of.customer->priority
                              : std::nullopt;
    tell.priority = priority.value_or(this->of.route->priority);
    tell.resume_after = this->of.events.last_id();
    shared.names.prepare_request(head, tell);
    auto const& content = this->of.request.body();
    auto const had_body = this->of.request.has_content_length() ||
                          this->of.request.chunked() || !content.empty();
    if (had_body)
    {
        head.set(http::field::content_length, std::to_string(content.size()));
    }
    this->connection->send(head_text(head) + content);
    shared.metrics.sent(this->of.arrivals > 0);
    this->of.arrivals += 1;
    if (auto* const one = this->server())
    {
        one->own.open += 1;
        one->own.in_memory +=
            this->of.work.prompt_tokens + this->of.work.output_tokens;
        one->own.unread += this->of.work.prompt_tokens;
        this->counted = true;
        this->unread_counted = true;
    }
    shared.prompts.note(this->where.server, this->of.work.shared_part, now);
}

/// Why the answer cannot go on, or nothing if it can.
std::optional<attempt_end> server_call::ended_early()
{
    if (caller_left(this->of))
    {
        return attempt_end::caller_gone;
    }
    if (this->of.shared.now.now() >= this->of.deadline)
    {
        return attempt_end::expired;
    }
    return this->connection->end() == peer_end::open
               ? std::nullopt
               : std::optional{attempt_end::in_doubt};
}

/// Parses what has arrived. Bytes of the body are put into `body`.
std::optional<attempt_end> server_call::parse_more()
{
    auto& input = this->connection->input();
    std::array<char, piece_size> piece{};
    while (input.size() > 0 && !this->answer->is_done())
    {
        auto& content = this->answer->get().body();
        content.data = piece.data();
        content.size = piece.size();
        content.more = true;
        boost::system::error_code fault;
        auto const used = this->answer->put(input.data(), fault);
        input.consume(used);
        this->body.append(piece.data(), piece.size() - content.size);
        if (fault == http::error::need_more)
        {
            break;
        }
        if (fault && fault != http::error::need_buffer)
        {
            return attempt_end::in_doubt; // bytes that are no answer
        }
        if (used == 0 && content.size == piece.size())
        {
            break;
        }
    }
    this->connection->resume();
    auto const finished = this->connection->end() == peer_end::finished;
    if (finished && input.size() == 0 && this->answer->is_header_done() &&
        !this->answer->is_done() && this->answer->need_eof())
    {
        boost::system::error_code fault;
        this->answer->put_eof(fault);
    }
    return std::nullopt;
}

/// A server may answer an earlier request of this connection a second time;
/// its answer would be taken for this one's. Skips an answer to another request
/// and those before the final one.
bool server_call::skip_foreign_answer()
{
    auto const& head = this->answer->get();
    this->facts = this->of.shared.names.read_answer(head, head.result_int());
    auto const interim = head.result_int() < first_final_status;
    auto const foreign = !this->facts.request_id.empty() &&
                         this->facts.request_id != this->of.facts.id;
    return interim || foreign;
}

asio::awaitable<std::optional<attempt_end>> server_call::read_head()
{
    auto skipping = false;
    this->answer = std::make_unique<parser>();
    this->answer->body_limit(largest_whole_answer);
    while (true)
    {
        if (auto const fault = this->parse_more())
        {
            co_return fault;
        }
        if (this->answer->is_header_done())
        {
            skipping = skipping || this->skip_foreign_answer();
            if (!skipping)
            {
                co_return this->judge_head();
            }
            this->body.clear();
            if (this->answer->is_done())
            {
                skipping = false;
                this->facts = {};
                this->answer = std::make_unique<parser>();
                this->answer->body_limit(largest_whole_answer);
                continue;
            }
        }
        if (auto const end = this->ended_early())
        {
            co_return end;
        }
        static_cast<void>(co_await sleep(this->of, this->of.deadline));
    }
}

/// What follows from the status alone; nothing if the answer is to be passed
/// on.
std::optional<attempt_end> server_call::judge_head()
{
    auto const status = static_cast<int>(this->answer->get().result_int());
    auto* const one = this->server();
    auto const now = this->of.shared.now.now();
    if (one != nullptr && this->facts.load)
    {
        one->report = *this->facts.load;
        one->reported_at = now;
    }
    this->clean = this->answer->is_done() && this->answer->keep_alive() &&
                  this->connection->input().size() == 0;
    if (this->facts.not_run)
    {
        if (one != nullptr && this->facts.wrong_server)
        {
            fleet::note_replaced(*one, now);
        }
        return this->facts.wrong_server ? attempt_end::wrong_server
                                        : attempt_end::not_run;
    }
    this->of.prompt_read = true;
    if (status >= http_server_error && this->may_fail_over())
    {
        return attempt_end::failed;
    }
    return std::nullopt;
}

bool server_call::may_fail_over()
{
    auto& shared = this->of.shared;
    auto state = this->of.attempts;
    state.runs += 1;
    state.sends += 1;
    auto const now = shared.now.now();
    return fleet::may_send_again(state, attempt_end::failed) &&
           this->of.deadline - now > this->where.expected &&
           shared.repeats.allows(this->of.work.service,
                                 shared.roster.slack_sharers(),
                                 shared.boot_time.now());
}

void server_call::note_first_part()
{
    if (this->first_part_at)
    {
        return;
    }
    auto& shared = this->of.shared;
    auto const now = shared.now.now();
    this->first_part_at = now;
    shared.metrics.server_first_part((now - this->sent_at).ms);
    if (!this->of.first_part)
    {
        this->of.first_part = now - this->of.arrived;
        shared.metrics.first_part(this->of.first_part->ms);
    }
    auto* const one = this->server();
    if (one == nullptr)
    {
        return;
    }
    fleet::note_success(*one, now - this->sent_at, this->where.expected);
    if (this->unread_counted)
    {
        one->own.unread -= this->of.work.prompt_tokens;
        this->unread_counted = false;
    }
}
} // namespace caperpath::gateway
