#include "gateway/servers/send_limiter.hpp"

#include "gateway/run_after.hpp"

#include <algorithm>
#include <utility>

namespace caperpath::gateway
{

namespace
{

/// When to ask again a router that did not respond or grants nothing.
constexpr duration silent_wait{400};

} // namespace

send_limiter::send_limiter(boost::asio::any_io_executor const& executor,
                           std::string self, datagram_sender send,
                           decision_log& log)
    : send{send}, log{log}, queries{executor, std::move(self), std::move(send)},
      started{this->now.now()}
{
}

void send_limiter::set_routers(std::vector<std::string> addresses)
{
    this->queries.set_routers(std::move(addresses));
}

std::vector<std::string> const& send_limiter::routers() const
{
    return this->queries.routers();
}

std::vector<std::string>
send_limiter::granters(backend_server_id const& server) const
{
    return fleet::granters_of(server, this->queries.routers());
}

void send_limiter::log_limit(backend_server_id const& server, double per_second)
{
    auto const granters = this->granters(server);
    this->log.write(log_weight::notable, "send_limit",
                    {{"server", server.value},
                     {"per_second", std::to_string(per_second)},
                     {"granter", granters.empty() ? "" : granters.front()}});
}

void send_limiter::note_response(backend_server_id const& server,
                                 std::optional<double> per_second,
                                 instant sent_at)
{
    auto const at = this->now.now();
    auto const known = this->limits.find(server);
    if (per_second)
    {
        if (known == this->limits.end() ||
            known->second.per_second != *per_second)
        {
            this->log_limit(server, *per_second);
        }
        this->limits[server] = {*per_second, at};
        return;
    }
    // A response to an earlier request may have been made before the limit.
    if (known == this->limits.end() || sent_at <= known->second.heard_at)
    {
        return;
    }
    this->limits.erase(known);
    this->log_limit(server, 0.0);
    send_query const ended{0, server, 0.0, duration{0}, duration{0}};
    for (auto const& granter : this->granters(server))
    {
        if (granter == this->queries.self())
        {
            static_cast<void>(this->grant(ended));
            continue;
        }
        this->send(granter, encode(send_limit_packet{false, ended, {}}));
    }
}

bool send_limiter::is_limited(backend_server_id const& server) const
{
    return this->limits.contains(server);
}

duration send_limiter::interval(backend_server_id const& server) const
{
    auto const known = this->limits.find(server);
    return known == this->limits.end()
               ? duration{0}
               : fleet::send_interval(known->second.per_second);
}

asio::awaitable<fleet::send_grant>
send_limiter::acquire(backend_server_id server, duration longest)
{
    auto const known = this->limits.find(server);
    if (known == this->limits.end())
    {
        co_return fleet::send_grant{true, duration{0}};
    }
    send_query query{0, server, known->second.per_second, duration{0}, longest};
    auto const heard_at = known->second.heard_at;
    for (auto const& granter : this->granters(server))
    {
        query.number = this->queries.next_number();
        query.age = this->now.now() - heard_at;
        if (granter == this->queries.self())
        {
            auto const reply = this->grant(query);
            co_return this->conclude(server, reply);
        }
        if (!this->queries.is_silent(granter))
        {
            auto const reply = co_await this->ask(granter, query);
            if (reply.has_place)
            {
                co_return this->conclude(server, reply);
            }
        }
        query.place += 1;
    }
    co_return fleet::send_grant{false, silent_wait};
}

fleet::send_grant send_limiter::conclude(backend_server_id const& server,
                                         send_reply const& reply)
{
    if (reply.limit_ended)
    {
        this->limits.erase(server);
    }
    return reply.grant;
}

asio::awaitable<send_reply> send_limiter::ask(std::string const& granter,
                                              send_query query)
{
    auto const bytes = encode(send_limit_packet{false, query, {}});
    auto const reply = co_await this->queries.ask(granter, query.number, bytes);
    if (!reply)
    {
        this->log.write(log_weight::notable, "send_limit_silent",
                        {{"server", query.server.value}, {"granter", granter}});
    }
    co_return reply.value_or(send_reply{query.number});
}

send_reply send_limiter::grant(send_query const& query)
{
    auto const at = this->now.now();
    auto const all = this->granters(query.server);
    auto const own = std::find(all.begin(), all.end(), this->queries.self());
    auto const place =
        own == all.end()
            ? std::nullopt
            : std::optional{static_cast<std::size_t>(own - all.begin())};
    auto const settling = at - this->started < fleet::granter_settle_time;
    auto const part = fleet::part_to_grant(place, query.place, settling);
    if (part <= 0)
    {
        return {query.number};
    }
    fleet::named_limit const limit{query.per_second, at - query.age};
    auto const found = this->schedules.find(query.server);
    auto schedule = found == this->schedules.end()
                        ? fleet::start_send_schedule(limit, at)
                        : fleet::update_limit(found->second, limit, at);
    send_reply reply{query.number, {}, schedule.limit.per_second <= 0, true};
    if (query.number != 0)
    {
        auto const granted =
            fleet::grant_send(schedule, at, query.longest, part);
        schedule = granted.schedule;
        reply.grant = granted.grant;
    }
    this->schedules[query.server] = schedule;
    return reply;
}

void send_limiter::receive(std::string const& from, std::string const& bytes)
{
    auto const decoded =
        value_or_error([&bytes] { return decode_send_limit_packet(bytes); });
    if (auto const* fault = std::get_if<error>(&decoded))
    {
        this->log.write_error(*fault);
        return;
    }
    auto const& packet = std::get<send_limit_packet>(decoded);
    if (!packet.is_reply)
    {
        auto const reply = this->grant(packet.query);
        if (packet.query.number != 0)
        {
            this->send(from, encode(send_limit_packet{true, {}, reply}));
        }
        return;
    }
    this->queries.deliver(packet.reply);
}

void send_limiter::stop()
{
    this->queries.leave();
}

void send_limiter::forget(backend_server_id const& server)
{
    this->limits.erase(server);
    this->schedules.erase(server);
}

} // namespace caperpath::gateway
