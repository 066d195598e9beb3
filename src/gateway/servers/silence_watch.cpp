#include "gateway/servers/silence_watch.hpp"

#include "gateway/spawn.hpp"

#include <utility>

namespace caperpath::gateway
{

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
    if (!this->current)
    {
        this->current = std::make_shared<presence_result>();
        this->current->wakeup = this->wakeup;
        spawn(this->shared.loop,
              find_presence(this->shared, this->server, this->current),
              "find_presence", this->shared.log);
    }
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
    auto const& all = this->shared.servers.servers;
    auto const found = all.find(this->server);
    if (found == all.end())
    {
        return true;
    }
    auto const& target = found->second;
    auto const is_unlisted =
        target.gone_from && this->shared.now.now() >= *target.gone_from;
    auto const was_replaced =
        this->born_ms != 0 && target.entry.born_ms != this->born_ms;
    return is_unlisted || was_replaced ||
           this->presence() == server_presence::gone;
}

} // namespace caperpath::gateway
