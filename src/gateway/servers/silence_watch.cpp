#include "gateway/servers/silence_watch.hpp"

#include "gateway/spawn.hpp"

#include <utility>

namespace caperpath::gateway
{

namespace
{

/// How often a server that stays silent is probed.
constexpr duration probe_interval{2'000};

} // namespace

asio::awaitable<void> find_presence(core& shared, backend_server_id server,
                                    std::shared_ptr<presence_result> result)
{
    result->presence =
        co_await shared.crash_checks.check(server, shared.now.now());
    result->wakeup->raise();
}

silence_watch::silence_watch(core& shared, backend_server_id server,
                             waker_ptr wakeup)
    : shared{shared}, server{std::move(server)}, wakeup{std::move(wakeup)}
{
}

void silence_watch::begin()
{
    auto const& all = this->shared.servers.servers;
    auto const found = all.find(this->server);
    this->born_ms = found == all.end() ? 0 : found->second.entry.born_ms;
    this->began = this->shared.now.now();
}

bool silence_watch::is_silent(connection& link) const
{
    // The times of the kernel may be those of an earlier request.
    return this->shared.now.now() - this->began >= longest_usual_silence &&
           link.is_silent(longest_usual_silence);
}

void silence_watch::note(bool silent)
{
    if (!silent)
    {
        this->current = nullptr;
        return;
    }
    auto const now = this->shared.now.now();
    if (!this->current || (this->may_have_changed() && now >= this->next_probe))
    {
        this->next_probe = now + probe_interval;
        this->current = std::make_shared<presence_result>();
        this->current->wakeup = this->wakeup;
        spawn(this->shared.loop,
              find_presence(this->shared, this->server, this->current),
              "find_presence", this->shared.log);
    }
}

/// True if another probe may find something else. One that is not in the table
/// any more cannot be probed.
bool silence_watch::may_have_changed() const
{
    auto const found = this->presence();
    return found && *found != server_presence::gone &&
           this->shared.servers.servers.contains(this->server);
}

std::optional<server_presence> silence_watch::presence() const
{
    return this->current ? this->current->presence : std::nullopt;
}

bool silence_watch::shows_end() const
{
    if (!this->current)
    {
        return false;
    }
    auto const found = this->presence();
    auto const& all = this->shared.servers.servers;
    auto const listed = all.find(this->server);
    auto const is_unlisted =
        listed == all.end() ||
        (listed->second.gone_from &&
         this->shared.now.now() >= *listed->second.gone_from);
    auto const was_replaced = this->born_ms != 0 && listed != all.end() &&
                              listed->second.entry.born_ms != this->born_ms;
    // One that drains goes on serving without an entry for as long as it runs.
    return was_replaced || found == server_presence::gone ||
           (is_unlisted && found == server_presence::unknown);
}

} // namespace caperpath::gateway
