#include "fleet/placement_checks.hpp"
#include "gateway/crashes/crash_handling.hpp"
#include "gateway/servers/server_call.hpp"

#include <algorithm>
#include <utility>

/// What precedes the send of a request to a server.
namespace caperpath::gateway
{

namespace
{

using fleet::attempt_outcome;

/// An idle connection may have been dropped on the network without notice, and
/// the risk grows with the idle time. A repeatable request is then retried; one
/// that is not repeatable would be lost, so it only uses connections that were
/// in use recently.
constexpr duration max_idle_repeatable{4'000};
constexpr duration max_idle_non_repeatable{1'000};
/// A caller that cannot be served within this time is better off with another
/// server, or with a rejection that says when to come back.
constexpr duration longest_limit_wait{500};
/// Until a brittle server has responded to some of the requests before.
constexpr duration longest_permit_wait{100};

} // namespace

/// Waits until a server that limits its requests may get this one.
asio::awaitable<std::optional<attempt_outcome>> server_call::wait_for_limit()
{
    auto& shared = this->current.shared;
    if (!shared.send_limits.is_limited(this->where.server))
    {
        co_return std::nullopt;
    }
    auto const until_late =
        this->current.deadline - shared.now.now() - this->where.expected;
    auto const grant = co_await shared.send_limits.acquire(
        this->where.server,
        std::clamp(until_late, duration{0}, longest_limit_wait));
    auto const send_at = shared.now.now() + grant.wait;
    if (!grant.granted)
    {
        this->postpone(grant.wait);
        co_return attempt_outcome::not_reached;
    }
    if (auto* const target = this->server())
    {
        target->next_send =
            send_at + shared.send_limits.interval(this->where.server);
    }
    while (shared.now.now() < send_at && !caller_disconnected(this->current))
    {
        static_cast<void>(co_await wait_until(this->current, send_at));
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<attempt_outcome>> server_call::connect()
{
    auto& shared = this->current.shared;
    auto const max_idle = fleet::may_run_again(this->current.attempts)
                              ? max_idle_repeatable
                              : max_idle_non_repeatable;
    auto const began = shared.now.now();
    auto const* const target = this->server();
    auto const is_relayed = target != nullptr && target->path.direct_failed;
    auto const outlasts_silence =
        !this->may_be_retried() || (is_relayed && !this->has_alternative());
    auto link = co_await shared.connector.connect(
        this->where.server, max_idle, this->current.deadline - began,
        relay_terms{this->current.work.may_be_relayed, outlasts_silence});
    this->connection = std::move(link.connection);
    this->current.relay = link.relay;
    this->relayed = !link.relay.empty();
    this->relay_use = std::move(link.relay_use);
    // The reply of a relay is not a server's; such a connection is not reused.
    this->reused =
        this->connection && !this->relayed && this->connection->has_received();
    if (!this->connection)
    {
        auto const connect_time = shared.now.now() - began;
        shared.log.write(log_weight::notable, "connect",
                         {{"request", this->current.facts.id},
                          {"server", this->where.server.value},
                          {"outcome", "not_reached"},
                          {"ms", std::to_string(connect_time.ms)}});
        co_return attempt_outcome::not_reached;
    }
    if (auto const end = this->check_before_send())
    {
        this->reusable = true;
        co_return end;
    }
    this->connection->set_waker(this->current.wakeup);
    co_return std::nullopt;
}

/// Waits until a brittle server may get this request: it may have to reject it.
/// The send follows at once, so that nothing else delays a rejection.
asio::awaitable<std::optional<attempt_outcome>> server_call::wait_for_permit()
{
    auto& shared = this->current.shared;
    auto const& service = this->current.work.service;
    if (!shared.rejections.is_brittle(service))
    {
        co_return std::nullopt;
    }
    co_await this->wait_for_next_send();
    auto reply =
        co_await shared.rejections.acquire(this->where.server, service);
    this->permit = std::move(reply.permit);
    if (this->connection->end() != peer_end::open)
    {
        co_return attempt_outcome::not_reached;
    }
    this->reusable = true;
    if (auto const end = this->check_before_send())
    {
        co_return end;
    }
    if (!this->permit)
    {
        this->postpone(reply.wait);
        this->denied = true;
        co_return attempt_outcome::not_reached;
    }
    this->reusable = false;
    co_return std::nullopt;
}

/// Waits for the time at which a server that was asked before may have room, if
/// it is near.
asio::awaitable<void> server_call::wait_for_next_send()
{
    auto const* const target = this->server();
    auto const from = this->current.shared.now.now();
    // A grant of its limit has made this request wait already.
    auto const is_granted =
        this->current.shared.send_limits.is_limited(this->where.server);
    if (target == nullptr || is_granted ||
        target->next_send - from > longest_permit_wait)
    {
        co_return;
    }
    auto const until = target->next_send;
    while (this->current.shared.now.now() < until &&
           !caller_disconnected(this->current))
    {
        static_cast<void>(co_await wait_until(this->current, until));
    }
}

bool server_call::was_denied() const
{
    return this->denied;
}

void server_call::report_outcome(fleet::send_outcome outcome)
{
    if (auto const ended = std::exchange(this->permit, std::nullopt))
    {
        this->current.shared.rejections.report(*ended, outcome);
    }
}

/// The server takes the request only after `wait`.
void server_call::postpone(duration wait)
{
    if (auto* const target = this->server())
    {
        target->next_send = this->current.shared.now.now() + wait;
    }
    this->current.limit_wait =
        std::min(this->current.limit_wait.value_or(wait), wait);
}

/// What changed during the connect and forbids the send. Without an outcome the
/// send has to follow in the same turn of the event loop.
std::optional<attempt_outcome> server_call::check_before_send()
{
    auto const& shared = this->current.shared;
    auto const now = shared.now.now();
    auto const* const target = this->server();
    if (caller_has_left(this->current))
    {
        return attempt_outcome::caller_gone;
    }
    auto const fits = target != nullptr &&
                      fleet::fits_version(*target, this->current.work) &&
                      fleet::may_begin_at(*target, this->current.work);
    if (!fits || fleet::is_closed(*target, now) ||
        now >= this->current.deadline || forbids_send(this->current))
    {
        return attempt_outcome::not_reached;
    }
    return std::nullopt;
}

} // namespace caperpath::gateway
