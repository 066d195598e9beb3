#ifndef CAPERPATH_SRC_GATEWAY_SERVERS_REJECTION_LIMITER_HPP
#define CAPERPATH_SRC_GATEWAY_SERVERS_REJECTION_LIMITER_HPP

#include "gateway/decision_log.hpp"
#include "gateway/granter_queries.hpp"
#include "gateway/servers/rejection_packet.hpp"

#include <caperpath/base/clock.hpp>
#include <caperpath/fleet/rejection_limit.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace caperpath::gateway
{

/// A granted send to a brittle server.
struct send_permit
{
    backend_server_id server;
    std::uint64_t send{};
    std::string granter;
};

/// The reply to a router that wants to send to a brittle server.
struct send_permit_reply
{
    std::optional<send_permit> permit;
    duration wait{}; ///< without a permit: when to ask again
};

/// Asks for each send to a brittle server and reports its outcome, and grants
/// the sends to the servers that this router is chosen for. Loop thread only;
/// must outlive its calls, and `log` must outlive it.
class rejection_limiter
{
public:
    /// `self` is the address of this router for datagrams.
    rejection_limiter(boost::asio::any_io_executor const& executor,
                      std::string self, datagram_sender send,
                      decision_log& log);

    /// The addresses of the other routers. New ones are sent the limits of all
    /// services; the first times, some are asked for those that they know.
    void set_routers(std::vector<std::string> addresses);

    /// Records what a response to a request that was sent at `sent_at` said of
    /// the rejections that servers of `service` take; empty if it said nothing.
    /// If the service was not known to be brittle, the other routers are
    /// notified.
    void note_response(service_id const& service,
                       std::optional<double> per_second, instant sent_at);

    /// True if sends to the servers of `service` have to be granted.
    bool is_brittle(service_id const& service) const;

    /// Asks for a send: the router that grants them, and the one that stands in
    /// for it if that one is silent.
    boost::asio::awaitable<send_permit_reply>
    acquire(backend_server_id server, service_id const& service);

    /// Reports the outcome of a granted send.
    void report(send_permit const& permit, fleet::send_outcome outcome);

    /// Handles a datagram of another router.
    void receive(std::string const& from, std::string const& bytes);

    /// Grants nothing any more: this process ends.
    void stop();

    /// Discards what is known of a server that is gone.
    void forget(backend_server_id const& server);

private:
    std::vector<std::string> granters(backend_server_id const& server) const;
    void note_outcome(rejection_packet const& packet);
    rejection_packet grant(rejection_packet const& query);
    void ask_for_limits(std::vector<std::string> routers);
    void send_limits(std::string const& to);
    void send_limit(std::string const& to, service_id const& service);
    void log_limit(service_id const& service, std::string const& source);

    datagram_sender send;
    decision_log& log;
    granter_queries<rejection_packet> queries;
    fleet::rejection_limits limits;
    std::map<backend_server_id, fleet::unconfirmed_sends> unconfirmed;
    caperpath::clock now{caperpath::clock::monotonic()};
    instant started;
    int limits_queries{};
};

} // namespace caperpath::gateway

#endif
