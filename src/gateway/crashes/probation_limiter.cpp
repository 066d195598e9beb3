#include "gateway/crashes/probation_limiter.hpp"

#include <caperpath/fleet/placement.hpp>
#include <caperpath/fleet/send_limit.hpp>
#include <caperpath/fleet/stream_version.hpp>

#include <algorithm>
#include <utility>

namespace caperpath::gateway
{

probation_limiter::probation_limiter(
    boost::asio::any_io_executor const& executor, std::string self,
    datagram_sender send, decision_log& log)
    : send{send}, log{log}, queries{executor, std::move(self), std::move(send)}
{
}

void probation_limiter::set_routers(std::vector<std::string> addresses)
{
    this->queries.set_routers(std::move(addresses));
}

std::vector<std::string>
probation_limiter::granters(std::string const& suspect) const
{
    return fleet::keepers_of(fleet::stable_hash(suspect),
                             this->queries.routers(), fleet::most_granters);
}

asio::awaitable<std::optional<probation_permit>>
probation_limiter::acquire(std::string suspect)
{
    auto const holder =
        fleet::stable_hash(this->queries.self() + " " +
                           std::to_string(this->queries.next_number()));
    for (auto const& granter : this->granters(suspect))
    {
        probation_packet query;
        query.number = this->queries.next_number();
        query.suspect = suspect;
        query.holder = holder;
        std::optional<probation_packet> reply;
        if (granter == this->queries.self())
        {
            reply = this->handle(query);
        }
        else if (!this->queries.is_silent(granter))
        {
            auto const bytes = encode(query);
            reply = co_await this->queries.ask(granter, query.number, bytes);
        }
        if (reply && reply->has_place)
        {
            if (!reply->granted)
            {
                break;
            }
            co_return probation_permit{suspect, holder, granter};
        }
        this->log.write(log_weight::notable, "probation_granter",
                        {{"suspect", suspect},
                         {"granter", granter},
                         {"outcome", reply ? "not_responsible" : "silent"}});
    }
    co_return std::nullopt;
}

void probation_limiter::release(probation_permit const& permit, duration pause)
{
    probation_packet ended;
    ended.kind = probation_message::release;
    ended.suspect = permit.suspect;
    ended.holder = permit.holder;
    ended.pause = pause;
    if (permit.granter == this->queries.self())
    {
        static_cast<void>(this->handle(ended));
        return;
    }
    this->send(permit.granter, encode(ended));
}

probation_packet probation_limiter::handle(probation_packet const& packet)
{
    probation_packet reply;
    reply.kind = probation_message::reply;
    reply.number = packet.number;
    auto const at = this->now.now();
    if (packet.kind == probation_message::release)
    {
        fleet::release_lease(this->leases, packet.suspect, packet.holder, at,
                             packet.pause);
        return reply;
    }
    auto const all = this->granters(packet.suspect);
    reply.has_place =
        std::find(all.begin(), all.end(), this->queries.self()) != all.end();
    reply.granted =
        reply.has_place &&
        fleet::acquire_lease(this->leases, packet.suspect, packet.holder, at);
    return reply;
}

void probation_limiter::receive(std::string const& from,
                                std::string const& bytes)
{
    auto const decoded =
        value_or_error([&bytes] { return decode_probation_packet(bytes); });
    if (auto const* fault = std::get_if<error>(&decoded))
    {
        this->log.write_error(*fault);
        return;
    }
    auto const& packet = std::get<probation_packet>(decoded);
    if (packet.kind == probation_message::reply)
    {
        this->queries.deliver(packet);
        return;
    }
    auto const reply = this->handle(packet);
    if (packet.number != 0)
    {
        this->send(from, encode(reply));
    }
}

void probation_limiter::stop()
{
    this->queries.leave();
}

} // namespace caperpath::gateway
