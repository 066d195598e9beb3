#include "gateway/servers/server_connector.hpp"

#include "gateway/run_after.hpp"
#include "gateway/spawn.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace caperpath::gateway
{

namespace
{

/// Probes to start per call, to bound their traffic if many servers are down.
constexpr std::size_t most_probes = 2;
constexpr std::size_t most_suspects = 4;
/// How long a connection of a probe that nobody uses is kept.
constexpr duration unused_idle_time{3'000};

} // namespace

std::string_view to_text(server_presence presence)
{
    switch (presence)
    {
    case server_presence::running:
        return "running";
    case server_presence::gone:
        return "gone";
    case server_presence::unknown:
        break;
    }
    return "unknown";
}

/// The attempts to reach one server. They outlive the call that started them:
/// the result of the slower one still tells about its path.
struct server_connector::race
{
    race(asio::any_io_executor const& executor, backend_server_id server,
         relay_terms terms)
        : wakeup{std::make_shared<waker>(executor)}, server{std::move(server)},
          terms{terms}
    {
    }

    waker_ptr wakeup;
    backend_server_id server;
    relay_terms terms;
    connection_ptr direct;
    relayed_connection relayed;
    bool direct_pending{false};
    bool relay_pending{false};
    bool relay_tried{false};
    bool over{false}; ///< nobody waits any more
};

server_connector::server_connector(asio::any_io_executor const& executor,
                                   fleet::server_table& servers,
                                   server_pool& pool, relay_client& relays,
                                   fleet::uplink& uplink, decision_log& log)
    : executor{executor}, servers{servers}, pool{pool}, relays{relays},
      uplink{uplink}, log{log}
{
}

fleet::server* server_connector::find(backend_server_id const& server)
{
    auto const found = this->servers.servers.find(server);
    return found == this->servers.servers.end() ? nullptr : &found->second;
}

asio::awaitable<server_link>
server_connector::connect(backend_server_id const& server, duration max_idle,
                          duration longest, relay_terms terms)
{
    server_link link;
    auto const* target = this->find(server);
    if (target == nullptr)
    {
        co_return link;
    }
    // If connects get no response, idle connections hang as well; if they are
    // refused, connections that are open may live on.
    if (!target->path.direct_silent)
    {
        link.connection = this->pool.acquire(server, max_idle);
        if (link.connection)
        {
            co_return link;
        }
    }
    auto const began = this->now.now();
    auto const until = began + std::min(longest, connect_limit);
    auto const all = std::make_shared<race>(this->executor, server, terms);
    if (!target->path.direct_failed)
    {
        all->direct_pending = true;
        spawn(this->executor,
              this->race_directly(all, std::min(longest, connect_timeout)),
              "connect", this->log);
    }
    while (true)
    {
        auto const at = this->now.now();
        auto const wait_is_over = at - began >= relay_delay;
        if (!all->direct && !all->relay_tried && terms.allowed &&
            (!all->direct_pending || wait_is_over) && this->relays.has_relays())
        {
            all->relay_tried = true;
            all->relay_pending = true;
            spawn(this->executor, this->race_through_relay(all),
                  "connect_through_relay", this->log);
        }
        auto const pending = all->direct_pending || all->relay_pending;
        if (all->direct || all->relayed.link || !pending || at >= until)
        {
            break;
        }
        auto const next =
            all->relay_tried ? until : std::min(until, began + relay_delay);
        static_cast<void>(co_await all->wakeup->wait(
            std::chrono::steady_clock::now() + to_chrono(next - at)));
    }
    all->over = true;
    if (all->direct)
    {
        if (all->relayed.link)
        {
            all->relayed.link->close();
        }
        link.connection = all->direct;
        co_return link;
    }
    if (!all->relayed.link && !all->direct_pending && !all->relay_tried &&
        terms.allowed)
    {
        this->relays_missing(server);
    }
    link.connection = all->relayed.link;
    link.relay = all->relayed.relay;
    link.relay_use = all->relayed.use;
    co_return link;
}

asio::awaitable<void>
server_connector::race_directly(std::shared_ptr<race> shared, duration limit)
{
    auto result = co_await this->connect_directly(shared->server, limit);
    shared->direct_pending = false;
    if (shared->over && result.link)
    {
        this->pool.release(shared->server, result.link, unused_idle_time);
        co_return;
    }
    shared->direct = std::move(result.link);
    shared->wakeup->raise();
}

asio::awaitable<void>
server_connector::race_through_relay(std::shared_ptr<race> shared)
{
    relay_request const request{shared->server, false,
                                shared->terms.outlasts_silence};
    shared->relayed = co_await this->relay(request);
    shared->relay_pending = false;
    if (shared->over && shared->relayed.link)
    {
        shared->relayed.link->close();
        co_return;
    }
    shared->wakeup->raise();
}

asio::awaitable<connect_result>
server_connector::connect_directly(backend_server_id const& server,
                                   duration limit)
{
    connect_result result;
    auto const* target = this->find(server);
    if (target == nullptr)
    {
        co_return result;
    }
    auto const began = this->now.now();
    auto const address = target->entry.address;
    result = co_await timed_connect(this->executor, address, limit);
    // A silence shorter than the usual limit proves nothing.
    auto const cut_short = result.outcome == fleet::connect_outcome::silent &&
                           limit < connect_timeout;
    if (!cut_short)
    {
        this->record(server, result.outcome, began);
    }
    co_return result;
}

void server_connector::record(backend_server_id const& server,
                              fleet::connect_outcome outcome, instant began)
{
    auto const at = this->now.now();
    // A refused connection also shows that the link carries packets.
    this->uplink = fleet::note_connect_result(
        this->uplink, outcome != fleet::connect_outcome::silent, at);
    auto* const target = this->find(server);
    if (target == nullptr)
    {
        return;
    }
    auto const before = target->path;
    target->path = fleet::note_direct(before, outcome, began, at);
    if (before.direct_failed && !target->path.direct_failed)
    {
        fleet::note_possible_restart(this->servers, server, at);
    }
    if (target->path.direct_failed != before.direct_failed)
    {
        this->log_path(server, "direct", to_text(outcome));
    }
    if (outcome == fleet::connect_outcome::silent && target->path.direct_failed)
    {
        this->pool.drop(server);
    }
}

asio::awaitable<relayed_connection>
server_connector::relay(relay_request request)
{
    relayed_connection result;
    auto const& server = request.server;
    auto const* target = this->find(server);
    if (target == nullptr)
    {
        co_return result;
    }
    auto const service = target->entry.service;
    result = co_await this->relays.connect(request, service);
    auto* const after = this->find(server);
    if (after != nullptr && after->path.direct_failed)
    {
        // Without a conclusive reply, another router may still reach it.
        auto const failed = result.server_failure || !result.any_asked;
        if (after->path.relay_failed != failed)
        {
            auto const failure = result.server_failure
                                     ? to_text(*result.server_failure)
                                     : "no_relay";
            this->log_path(server, "relay", failed ? failure : "usable");
        }
        after->path = fleet::note_relay(after->path, !failed);
    }
    co_return result;
}

void server_connector::relays_missing(backend_server_id const& server)
{
    auto* const target = this->find(server);
    if (target != nullptr && target->path.direct_failed)
    {
        target->path = fleet::note_relay(target->path, false);
    }
}

asio::awaitable<bool>
server_connector::reaches_others(backend_server_id const& server, instant since)
{
    auto const* const target = this->find(server);
    auto const service =
        target == nullptr ? service_id{} : target->entry.service;
    auto const other =
        fleet::another_server(this->servers, server, service, this->now.now());
    if (!other)
    {
        co_return false;
    }
    auto const connected_at =
        this->servers.servers.at(*other).path.connected_at;
    if (connected_at >= since)
    {
        co_return true;
    }
    auto const result =
        co_await this->connect_directly(*other, connect_timeout);
    if (result.link)
    {
        this->pool.release(*other, result.link, unused_idle_time);
    }
    co_return result.link != nullptr;
}

asio::awaitable<server_presence>
server_connector::find_out(backend_server_id const& server)
{
    auto const* const target = this->find(server);
    if (target == nullptr)
    {
        co_return server_presence::unknown;
    }
    auto const began = this->now.now();
    auto refused = false;
    if (!target->path.direct_failed)
    {
        auto const direct =
            co_await this->connect_directly(server, connect_timeout);
        if (direct.link)
        {
            this->pool.release(server, direct.link, unused_idle_time);
            co_return server_presence::running;
        }
        refused = direct.outcome == fleet::connect_outcome::refused;
    }
    if (!this->relays.has_relays())
    {
        co_return refused ? server_presence::gone : server_presence::unknown;
    }
    relay_request const request{server};
    auto const relayed = co_await this->relay(request);
    if (relayed.link)
    {
        relayed.link->close();
        co_return server_presence::running;
    }
    if (relayed.server_failure == relay_outcome::refused)
    {
        co_return server_presence::gone;
    }
    auto const inconclusive = !relayed.server_failure && refused;
    auto const confirmed =
        inconclusive && co_await this->reaches_others(server, began);
    co_return confirmed ? server_presence::gone : server_presence::unknown;
}

void server_connector::probe_paths()
{
    auto const at = this->now.now();
    auto due = fleet::take_due_probes(this->servers, at, most_probes);
    for (auto& suspect : fleet::take_suspects(this->servers, at, most_suspects))
    {
        due.push_back(std::move(suspect));
    }
    for (auto const& server : due)
    {
        spawn(this->executor, this->probe(server), "probe_path", this->log);
    }
}

asio::awaitable<void> server_connector::probe(backend_server_id server)
{
    auto const* const target = this->find(server);
    if (target != nullptr && target->path.relay_failed &&
        this->relays.has_relays())
    {
        relay_request const request{server, true};
        static_cast<void>(co_await this->relay(request));
    }
    auto const direct =
        co_await this->connect_directly(server, connect_timeout);
    if (direct.link)
    {
        this->pool.release(server, direct.link, unused_idle_time);
    }
}

void server_connector::log_path(backend_server_id const& server,
                                std::string_view path, std::string_view state)
{
    this->log.write(log_weight::notable, "path",
                    {{"server", server.value},
                     {"path", std::string{path}},
                     {"state", std::string{state}}});
}

} // namespace caperpath::gateway
