#ifndef CAPERPATH_SRC_GATEWAY_CRASHES_PROBATION_LIMITER_HPP
#define CAPERPATH_SRC_GATEWAY_CRASHES_PROBATION_LIMITER_HPP

#include "gateway/crashes/probation_packet.hpp"
#include "gateway/decision_log.hpp"
#include "gateway/granter_queries.hpp"

#include <caperpath/base/clock.hpp>
#include <caperpath/fleet/probation_lease.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace caperpath::gateway
{

/// The lease of one request on probation.
struct probation_permit
{
    std::string suspect;
    std::uint64_t holder{};
    std::string granter;
};

/// Lets one request on probation run at a time in the whole fleet: asks for
/// leases, and grants those that this router is chosen for. Loop thread only;
/// must outlive its calls, and `log` must outlive it.
class probation_limiter
{
public:
    /// `self` is the address of this router for datagrams.
    probation_limiter(boost::asio::any_io_executor const& executor,
                      std::string self, datagram_sender send,
                      decision_log& log);

    /// The addresses of the other routers.
    void set_routers(std::vector<std::string> addresses);

    /// Asks the router that grants the leases of `suspect`, and the one that
    /// stands in for it if that one is silent. Empty if there is none now.
    boost::asio::awaitable<std::optional<probation_permit>>
    acquire(std::string suspect);

    /// Ends a lease after `pause`.
    void release(probation_permit const& permit, duration pause);

    /// Handles a datagram of another router.
    void receive(std::string const& from, std::string const& bytes);

    /// Grants nothing any more: this process ends.
    void stop();

private:
    std::vector<std::string> granters(std::string const& suspect) const;
    probation_packet handle(probation_packet const& packet);

    datagram_sender send;
    decision_log& log;
    granter_queries<probation_packet> queries;
    fleet::probation_leases leases;
    caperpath::clock now{caperpath::clock::monotonic()};
};

} // namespace caperpath::gateway

#endif
