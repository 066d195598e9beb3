#include "gateway/servers/server_notice.hpp"

#include "gateway/servers/server_notice_packet.hpp"

#include <algorithm>

namespace caperpath::gateway
{

namespace
{

/// The rest of a server that names none that can be read.
constexpr duration unreadable_rest{1'000};

/// The server that responded. One that rejects requests to another server has
/// the other one's address.
fleet::server* responder(core& shared, heard_response const& response)
{
    auto& all = shared.servers.servers;
    auto const expected = all.find(response.server);
    if (expected == all.end() || !response.facts.wrong_server)
    {
        return expected == all.end() ? nullptr : &expected->second;
    }
    auto const& address = expected->second.entry.address;
    auto const found =
        std::find_if(all.begin(), all.end(),
                     [&](auto const& entry)
                     {
                         return entry.first != response.server &&
                                entry.second.entry.address == address;
                     });
    return found == all.end() ? nullptr : &found->second;
}

void log_leaving(core& shared, fleet::server const& target,
                 std::string const& source)
{
    shared.log.write(log_weight::notable, "server_leaving",
                     {{"server", target.entry.id.value},
                      {"leaves", target.notices.leaving_at ? "yes" : "no"},
                      {"by", source}});
}

/// Returns true if it was not known.
bool update_leaving(core& shared, fleet::server& target, bool leaves,
                    instant sent_at, std::string const& source)
{
    auto const was_leaving = target.notices.leaving_at.has_value();
    target.notices = fleet::note_leaving(target.notices, leaves, sent_at);
    if (target.notices.leaving_at.has_value() == was_leaving)
    {
        return false;
    }
    log_leaving(shared, target, source);
    return true;
}

void begin_rest(core& shared, fleet::server& target, duration rest,
                std::string const& source)
{
    auto const now = shared.now.now();
    auto const was_resting =
        fleet::rest_left(target.notices, now) > duration{0};
    target.notices = fleet::note_rest(target.notices, rest, now);
    if (!was_resting)
    {
        auto const left = fleet::rest_left(target.notices, now);
        shared.log.write(log_weight::notable, "server_rest",
                         {{"server", target.entry.id.value},
                          {"ms", std::to_string(left.ms)},
                          {"asked_ms", std::to_string(rest.ms)},
                          {"by", source}});
    }
}

server_notice_packet notice_of(core const& shared, fleet::server const& target,
                               heard_response const& response)
{
    return {target.entry.id,
            target.entry.born_ms,
            response.facts.leaves,
            shared.now.now() - response.sent_at,
            {}};
}

} // namespace

void note_response(core& shared, heard_response const& response)
{
    auto* const target = responder(shared, response);
    if (target == nullptr)
    {
        return;
    }
    auto const leaves = response.facts.leaves;
    if (update_leaving(shared, *target, leaves, response.sent_at, "response") &&
        leaves)
    {
        shared.send_to_routers({encode(notice_of(shared, *target, response))});
    }
    if (!response.facts.wants_rest)
    {
        return;
    }
    auto const rest = response.facts.rest.value_or(unreadable_rest);
    begin_rest(shared, *target, rest, "response");
    if (!response.relay.empty())
    {
        auto notice = notice_of(shared, *target, response);
        notice.rest = rest;
        shared.peers.send(response.relay, encode(notice));
    }
}

void receive_server_notice(core& shared, std::string const& from,
                           std::string const& bytes)
{
    auto const decoded =
        value_or_error([&bytes] { return decode_server_notice_packet(bytes); });
    if (auto const* fault = std::get_if<error>(&decoded))
    {
        shared.log.write_error(*fault);
        return;
    }
    auto const& notice = std::get<server_notice_packet>(decoded);
    auto const found = shared.servers.servers.find(notice.server);
    if (found != shared.servers.servers.end() &&
        found->second.entry.born_ms == notice.born_ms)
    {
        if (notice.leaves)
        {
            auto const sent_at = shared.now.now() - notice.age;
            update_leaving(shared, found->second, true, sent_at, from);
        }
        if (notice.rest > duration{0})
        {
            begin_rest(shared, found->second, notice.rest, from);
        }
    }
}

} // namespace caperpath::gateway
