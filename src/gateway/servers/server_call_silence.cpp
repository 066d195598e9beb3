#include "gateway/crashes/crash_handling.hpp"
#include "gateway/servers/server_call.hpp"
#include "gateway/servers/server_choice.hpp"
#include "gateway/servers/timed_connect.hpp"
#include "gateway/spawn.hpp"

#include <algorithm>
#include <memory>

/// Attempts at servers that acknowledge nothing. The link may only be full, so
/// silence ends an attempt only if the request can be sent to another server at
/// once. Any other one would be lost; what shows that the server has ended ends
/// it.
namespace caperpath::gateway
{

namespace
{

using fleet::attempt_outcome;

} // namespace

bool server_call::lost_connection() const
{
    return this->connection &&
           (this->connection->end() != peer_end::open || this->given_up ||
            this->silence.presence() == server_presence::gone);
}

/// Waits for input, the end of a connection, or the next check of the server's
/// silence. Returns false if the deadline passed first.
asio::awaitable<bool> server_call::wait_for_more()
{
    auto const& shared = this->current.shared;
    auto const until =
        std::min(this->current.deadline, this->silence_check_due);
    auto const raised = co_await wait_until(this->current, until);
    auto const now = shared.now.now();
    if (now >= this->silence_check_due)
    {
        this->silence_check_due = now + silence_check_interval;
        this->check_silence();
    }
    co_return raised || now < this->current.deadline;
}

/// True if another attempt may follow this one as of now.
bool server_call::may_be_retried()
{
    auto& shared = this->current.shared;
    auto after = this->current.attempts;
    after.sends += 1;
    after.runs += 1;
    return fleet::may_try_another_server(after, attempt_outcome::in_doubt) &&
           !forbids_retry(this->current) &&
           shared.retries.left(this->current.work.service,
                               shared.membership.retry_sharers(),
                               shared.boot_time.now()) > 0;
}

/// True if another server could respond to the request in time.
bool server_call::has_alternative()
{
    auto const other = find_other_server(this->current, this->where.server);
    auto const now = this->current.shared.now.now();
    return other && this->current.deadline - now > other->expected;
}

/// True if another server could respond to the request in time, and something
/// was heard from it during the silence: this router's own link may be the one
/// that is silent. One that was not heard is probed.
bool server_call::reaches_alternative()
{
    auto& shared = this->current.shared;
    auto const other = find_other_server(this->current, this->where.server);
    auto const now = shared.now.now();
    if (!other || this->current.deadline - now <= other->expected)
    {
        return false;
    }
    auto const& path = shared.servers.servers.at(other->server).path;
    if (now - std::max(path.heard_at, path.connected_at) <
        longest_usual_silence)
    {
        return true;
    }
    if (this->alternative && !this->alternative->presence)
    {
        return false; // its probe has no result yet
    }
    if (this->alternative &&
        *this->alternative->presence == server_presence::running)
    {
        return true;
    }
    this->alternative = std::make_shared<presence_result>();
    this->alternative->wakeup = this->current.wakeup;
    spawn(shared.loop, find_presence(shared, other->server, this->alternative),
          "find_presence", shared.log);
    return false;
}

/// Call right before the send.
void server_call::prepare_for_silence(std::size_t request_bytes)
{
    auto const now = this->current.shared.now.now();
    this->silence_check_due = now + silence_check_interval;
    this->silence.begin();
    this->progress = {request_bytes, now};
    this->kernel_may_end = !this->current.shared.packet_times_known &&
                           this->may_be_retried() && this->has_alternative();
    this->set_silence_timeout();
}

void server_call::set_silence_timeout()
{
    this->kernel_may_end =
        this->kernel_may_end && !this->current.shared.packet_times_known;
    auto const kernel_ends = this->kernel_may_end && this->may_be_retried();
    this->connection->set_silence_timeout(kernel_ends ? peer_silence_timeout
                                                      : longest_silence);
}

/// True if the server keeps its receive window closed, or acknowledges nothing.
bool server_call::accepts_nothing()
{
    auto const now = this->current.shared.now.now();
    auto const left = this->connection->unacknowledged();
    if (left != this->progress.unacknowledged)
    {
        this->progress = {left, now};
    }
    return left > 0 && now - this->progress.since >= longest_usual_silence;
}

/// Gives the server up if the request can be sent to another one.
bool server_call::give_up_in_silence()
{
    auto& shared = this->current.shared;
    // Charged now: other requests may need what is left of the limit, too.
    this->given_up = this->may_be_retried() && !forbids_send(this->current) &&
                     this->reaches_alternative() &&
                     shared.retries.take(this->current.work.service,
                                         shared.membership.retry_sharers(),
                                         shared.boot_time.now());
    this->current.retry_charged = this->given_up;
    return this->given_up;
}

void server_call::check_silence()
{
    if (this->given_up)
    {
        return; // its caller has not taken all output yet
    }
    if (this->kernel_may_end)
    {
        this->set_silence_timeout();
    }
    auto const silent = this->silence.is_silent(*this->connection);
    if ((this->accepts_nothing() || silent) && this->give_up_in_silence())
    {
        return;
    }
    this->silence.note(silent);
    auto const found = this->silence.presence();
    auto const may_have_crashed =
        found && *found != server_presence::gone && !this->relayed;
    if (may_have_crashed && !this->crash_watched)
    {
        // Its entry may show later that it had crashed.
        this->crash_watched = true;
        watch_for_crash(this->current, this->where.server);
    }
}

/// True if the server is silent, and the request is sent elsewhere for it or
/// the server is known to have ended.
bool server_call::has_ended_in_silence() const
{
    return this->given_up || this->silence.shows_end();
}

} // namespace caperpath::gateway
