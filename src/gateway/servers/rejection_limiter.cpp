#include "gateway/servers/rejection_limiter.hpp"

#include <caperpath/fleet/placement.hpp>
#include <caperpath/fleet/send_limit.hpp>

#include <algorithm>
#include <utility>

namespace caperpath::gateway
{

namespace
{

/// When to ask again a router that did not respond or grants nothing.
constexpr duration silent_wait{400};
/// Of the other routers; each that sends to a service knows its limit.
constexpr std::size_t routers_to_ask = 8;
/// The first ones may have ended, or a datagram may be lost.
constexpr int most_limits_queries = 2;

} // namespace

rejection_limiter::rejection_limiter(
    boost::asio::any_io_executor const& executor, std::string self,
    datagram_sender send, decision_log& log)
    : send{send}, log{log}, queries{executor, std::move(self), std::move(send)},
      started{this->now.now()}
{
}

void rejection_limiter::set_routers(std::vector<std::string> addresses)
{
    if (this->limits_queries < most_limits_queries && !addresses.empty())
    {
        this->limits_queries += 1;
        this->ask_for_limits(addresses);
    }
    auto const& known = this->queries.routers();
    for (auto const& router : addresses)
    {
        if (std::find(known.begin(), known.end(), router) == known.end())
        {
            this->send_limits(router);
        }
    }
    this->queries.set_routers(std::move(addresses));
}

std::vector<std::string>
rejection_limiter::granters(backend_server_id const& server) const
{
    return fleet::granters_of(server, this->queries.routers());
}

void rejection_limiter::note_response(service_id const& service,
                                      std::optional<double> per_second,
                                      instant sent_at)
{
    auto const was_brittle = this->is_brittle(service);
    if (!fleet::note_rejection_limit(this->limits, service, per_second,
                                     sent_at))
    {
        return;
    }
    this->log_limit(service, "response");
    if (was_brittle)
    {
        return;
    }
    for (auto const& router : this->queries.routers())
    {
        if (router != this->queries.self())
        {
            this->send_limit(router, service);
        }
    }
}

/// Asks those that are first in an order that differs between routers.
void rejection_limiter::ask_for_limits(std::vector<std::string> routers)
{
    auto const rank = [this](std::string const& router)
    {
        return fleet::stable_hash(this->queries.self() + " " + router);
    };
    std::sort(routers.begin(), routers.end(),
              [&rank](std::string const& a, std::string const& b)
              { return rank(a) < rank(b); });
    routers.resize(std::min(routers.size(), routers_to_ask));
    rejection_packet query;
    query.kind = rejection_message::limits_query;
    for (auto const& router : routers)
    {
        this->send(router, encode(query));
    }
}

void rejection_limiter::send_limits(std::string const& to)
{
    for (auto const& [service, limit] : this->limits)
    {
        this->send_limit(to, service);
    }
}

void rejection_limiter::send_limit(std::string const& to,
                                   service_id const& service)
{
    auto const& limit = this->limits.at(service);
    rejection_packet packet;
    packet.kind = rejection_message::limit;
    packet.service = service;
    packet.per_second = limit.per_second;
    packet.age = std::max(duration{0}, this->now.now() - limit.named_at);
    this->send(to, encode(packet));
}

void rejection_limiter::log_limit(service_id const& service,
                                  std::string const& source)
{
    auto const known = this->limits.find(service);
    this->log.write(
        log_weight::notable, "rejection_limit",
        {{"service", service.value},
         {"per_second", known == this->limits.end()
                            ? "none"
                            : std::to_string(known->second.per_second)},
         {"by", source}});
}

bool rejection_limiter::is_brittle(service_id const& service) const
{
    return this->limits.contains(service);
}

asio::awaitable<send_permit_reply>
rejection_limiter::acquire(backend_server_id server, service_id const& service)
{
    auto const known = this->limits.find(service);
    rejection_packet query;
    query.server = server;
    query.send =
        fleet::stable_hash(this->queries.self() + " " +
                           std::to_string(this->queries.next_number()));
    query.per_second =
        known == this->limits.end() ? 0.0 : known->second.per_second;
    for (auto const& granter : this->granters(server))
    {
        std::optional<rejection_packet> reply;
        query.number = this->queries.next_number();
        if (granter == this->queries.self())
        {
            reply = this->grant(query);
        }
        else if (!this->queries.is_silent(granter))
        {
            auto const bytes = encode(query);
            reply = co_await this->queries.ask(granter, query.number, bytes);
        }
        if (reply && reply->has_place)
        {
            co_return reply->grant.granted
                ? send_permit_reply{send_permit{server, query.send, granter},
                                    duration{0}}
                : send_permit_reply{std::nullopt, reply->grant.wait};
        }
        this->log.write(log_weight::routine, "rejection_granter",
                        {{"server", server.value},
                         {"granter", granter},
                         {"outcome", reply ? "not_responsible" : "silent"}});
        query.place += 1;
    }
    co_return send_permit_reply{std::nullopt, silent_wait};
}

void rejection_limiter::report(send_permit const& permit,
                               fleet::send_outcome outcome)
{
    rejection_packet packet;
    packet.kind = rejection_message::outcome;
    packet.server = permit.server;
    packet.send = permit.send;
    packet.outcome = outcome;
    if (permit.granter == this->queries.self())
    {
        this->note_outcome(packet);
        return;
    }
    this->send(permit.granter, encode(packet));
}

void rejection_limiter::note_outcome(rejection_packet const& packet)
{
    auto const found = this->unconfirmed.find(packet.server);
    if (found != this->unconfirmed.end())
    {
        fleet::note_outcome(found->second, packet.send, packet.outcome,
                            this->now.now());
    }
}

rejection_packet rejection_limiter::grant(rejection_packet const& query)
{
    rejection_packet reply;
    reply.kind = rejection_message::reply;
    reply.number = query.number;
    auto const all = this->granters(query.server);
    auto const own = std::find(all.begin(), all.end(), this->queries.self());
    reply.has_place = own != all.end();
    if (!reply.has_place)
    {
        return reply;
    }
    auto const at = this->now.now();
    auto const shares = fleet::share_rejections(query.per_second);
    auto const is_first = own == all.begin() && query.place == 0 &&
                          at - this->started >= fleet::granter_settle_time;
    reply.grant = fleet::grant_unconfirmed(
        this->unconfirmed[query.server], query.send,
        is_first ? shares.first : shares.stands_in, at);
    return reply;
}

void rejection_limiter::receive(std::string const& from,
                                std::string const& bytes)
{
    auto const decoded =
        value_or_error([&bytes] { return decode_rejection_packet(bytes); });
    if (auto const* fault = std::get_if<error>(&decoded))
    {
        this->log.write_error(*fault);
        return;
    }
    auto const& packet = std::get<rejection_packet>(decoded);
    switch (packet.kind)
    {
    case rejection_message::query:
        this->send(from, encode(this->grant(packet)));
        break;
    case rejection_message::outcome:
        this->note_outcome(packet);
        break;
    case rejection_message::reply:
        this->queries.deliver(packet);
        break;
    case rejection_message::limits_query:
        this->send_limits(from);
        break;
    case rejection_message::limit:
        if (fleet::note_rejection_limit(this->limits, packet.service,
                                        packet.per_second,
                                        this->now.now() - packet.age))
        {
            this->log_limit(packet.service, from);
        }
        break;
    }
}

void rejection_limiter::stop()
{
    this->queries.leave();
}

void rejection_limiter::forget(backend_server_id const& server)
{
    this->unconfirmed.erase(server);
}

} // namespace caperpath::gateway
