#include "gateway/crashes/crash_handling.hpp"
#include "gateway/servers/server_call.hpp"
#include "gateway/servers/timed_connect.hpp"
#include "gateway/spawn.hpp"

#include <algorithm>
#include <memory>
#include <utility>

/// Servers that acknowledge nothing. A request that cannot be sent again would
/// be lost if silence ended it, and the link may only be full; what shows that
/// the server has ended does.
namespace caperpath::gateway
{

namespace
{

constexpr duration silence_check_interval{500};

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
    return this->connection &&
           (this->connection->end() != peer_end::open || was_found_gone);
}

/// Waits for input, the end of a connection, or the next check of a silent
/// server. Returns false if the deadline passed first.
asio::awaitable<bool> server_call::wait_for_more()
{
    auto const& shared = this->current.shared;
    auto const deadline = this->current.deadline;
    auto const until =
        this->outlasts_silence
            ? std::min(deadline, shared.now.now() + silence_check_interval)
            : deadline;
    auto const raised = co_await wait_until(this->current, until);
    if (this->outlasts_silence && shared.now.now() >= this->silence_check_due)
    {
        this->silence_check_due = shared.now.now() + silence_check_interval;
        this->check_silence();
    }
    co_return raised || shared.now.now() < this->current.deadline;
}

void server_call::check_silence()
{
    auto& shared = this->current.shared;
    if (!this->connection->is_silent({peer_silence_timeout.count()}))
    {
        this->silent_presence = nullptr;
        return;
    }
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

/// True if the server is silent, and a probe or the list of servers shows that
/// its process has ended.
bool server_call::has_ended_in_silence()
{
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
