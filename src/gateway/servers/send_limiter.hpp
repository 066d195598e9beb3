#ifndef CAPERPATH_SRC_GATEWAY_SERVERS_SEND_LIMITER_HPP
#define CAPERPATH_SRC_GATEWAY_SERVERS_SEND_LIMITER_HPP

#include "gateway/decision_log.hpp"
#include "gateway/granter_queries.hpp"
#include "gateway/servers/send_limit_packet.hpp"

#include <caperpath/base/clock.hpp>
#include <caperpath/fleet/send_limit.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace caperpath::gateway
{

/// Asks for each send to a server that limits its requests, and grants the
/// sends to the servers that this router is chosen for. Loop thread only; must
/// outlive its calls, and `log` must outlive it.
class send_limiter
{
public:
    /// `self` is the address of this router for datagrams.
    send_limiter(boost::asio::any_io_executor const& executor, std::string self,
                 datagram_sender send, decision_log& log);

    /// The addresses of the other routers.
    void set_routers(std::vector<std::string> addresses);

    /// The addresses of the routers that grant sends, with this one.
    std::vector<std::string> const& routers() const;

    /// Records what a response to a request that was sent at `sent_at` said of
    /// its server's limit; empty if it named none.
    void note_response(backend_server_id const& server,
                       std::optional<double> per_second, instant sent_at);

    /// True if sends to the server have to be granted.
    bool is_limited(backend_server_id const& server) const;

    /// The time between two sends of the fleet to the server; 0 if it names no
    /// limit.
    duration interval(backend_server_id const& server) const;

    /// Asks for a send within `longest`: the router that grants them, and the
    /// one that stands in for it if that one does not grant any or is silent.
    boost::asio::awaitable<fleet::send_grant> acquire(backend_server_id server,
                                                      duration longest);

    /// Handles a datagram of another router.
    void receive(std::string const& from, std::string const& bytes);

    /// Grants nothing any more: this process ends.
    void stop();

    /// Discards what is known of a server that is gone.
    void forget(backend_server_id const& server);

private:
    std::vector<std::string> granters(backend_server_id const& server) const;
    send_reply grant(send_query const& query);
    fleet::send_grant conclude(backend_server_id const& server,
                               send_reply const& reply);
    boost::asio::awaitable<send_reply> ask(std::string const& granter,
                                           send_query query);
    void log_limit(backend_server_id const& server, double per_second);

    datagram_sender send;
    decision_log& log;
    granter_queries<send_reply> queries;
    std::map<backend_server_id, fleet::named_limit> limits;
    std::map<backend_server_id, fleet::send_schedule> schedules;
    caperpath::clock now{caperpath::clock::monotonic()};
    instant started;
};

} // namespace caperpath::gateway

#endif
