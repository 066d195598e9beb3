#include "gateway/crashes/crash_handling.hpp"
#include "gateway/servers/server_call.hpp"
#include "gateway/servers/server_choice.hpp"
#include "gateway/servers/timed_connect.hpp"
#include "gateway/spawn.hpp"

#include <algorithm>
#include <memory>
#include <utility>

/// Servers that acknowledge nothing. The link may only be full, so silence ends
/// an attempt only if the request can be sent to another server at once. Any
/// other one would be lost; what shows that the server has ended ends it.
namespace caperpath::gateway
{

namespace
{

using fleet::attempt_outcome;

/// Bounds what the checks add to the time until a silent server is given up.
constexpr duration silence_check_interval{250};
constexpr duration longest_usual_silence{peer_silence_timeout.count()};

} // namespace

asio::awaitable<void> find_presence(core& shared, backend_server_id server,
                                    std::shared_ptr<presence_result> result)
{
    result->presence =
        co_await shared.crash_checks.check(server, shared.now.now());
    result->wakeup->raise();
}

bool server_call::lost_connection() const
{
    auto const was_found_gone =
        this->silent_presence &&
        this->silent_presence->presence == server_presence::gone;
    return this->connection && (this->connection->end() != peer_end::open ||
                                was_found_gone || this->given_up);
}

/// Waits for input, the end of a connection, or the next check of the server's
/// silence. Returns false if the deadline passed first.
asio::awaitable<bool> server_call::wait_for_more()
{
    auto const& shared = this->current.shared;
    auto const until = this->relayed ? this->current.deadline
                                     : std::min(this->current.deadline,
                                                this->silence_check_due);
    auto const raised = co_await wait_until(this->current, until);
    auto const now = shared.now.now();
    if (!this->relayed && now >= this->silence_check_due)
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

/// Call right before the send.
void server_call::prepare_for_silence(std::size_t request_bytes)
{
    auto const now = this->current.shared.now.now();
    this->silence_check_due = now + silence_check_interval;
    this->progress = {request_bytes, now};
    this->kernel_may_end = !this->current.shared.packet_times_known &&
                           this->may_be_retried() && this->has_alternative();
    this->set_silence_timeout();
}

void server_call::set_silence_timeout()
{
    this->kernel_may_end =
        this->kernel_may_end && !this->current.shared.packet_times_known;
    auto const kernel_ends =
        this->relayed || (this->kernel_may_end && this->may_be_retried());
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
    this->given_up = this->may_be_retried() && this->has_alternative() &&
                     shared.retries.take(this->current.work.service,
                                         shared.membership.retry_sharers(),
                                         shared.boot_time.now());
    this->current.retry_charged = this->given_up;
    return this->given_up;
}

void server_call::check_silence()
{
    if (this->kernel_may_end)
    {
        this->set_silence_timeout();
    }
    // The times of the kernel may be those of an earlier request.
    auto const sent_for = this->current.shared.now.now() - this->sent_at;
    auto const silent = sent_for >= longest_usual_silence &&
                        this->connection->is_silent(longest_usual_silence);
    if ((this->accepts_nothing() || silent) && this->give_up_in_silence())
    {
        return;
    }
    if (silent)
    {
        this->probe_presence();
    }
    else
    {
        this->silent_presence = nullptr;
    }
}

void server_call::probe_presence()
{
    auto& shared = this->current.shared;
    if (!this->silent_presence)
    {
        this->silent_presence = std::make_shared<presence_result>();
        this->silent_presence->wakeup = this->current.wakeup;
        spawn(shared.loop,
              find_presence(shared, this->where.server, this->silent_presence),
              "find_presence", shared.log);
        return;
    }
    auto const& found = this->silent_presence->presence;
    if (found && *found != server_presence::gone && !this->crash_watched)
    {
        // Its entry may show later that it had crashed.
        this->crash_watched = true;
        watch_for_crash(this->current, this->where.server);
    }
}

/// True if the server is silent, and the request is sent elsewhere for it, or a
/// probe or the list of servers shows that its process has ended.
bool server_call::has_ended_in_silence()
{
    if (this->given_up)
    {
        return true;
    }
    if (!this->silent_presence)
    {
        return false;
    }
    auto const* const target = this->server();
    auto const born_ms = this->current.server_born_ms;
    auto const is_unlisted =
        target == nullptr ||
        (target->gone_from &&
         this->current.shared.now.now() >= *target->gone_from) ||
        (born_ms != 0 && target->entry.born_ms != born_ms);
    return is_unlisted || this->lost_connection();
}

} // namespace caperpath::gateway
