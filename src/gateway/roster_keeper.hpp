#ifndef CAPERPATH_SRC_GATEWAY_ROSTER_KEEPER_HPP
#define CAPERPATH_SRC_GATEWAY_ROSTER_KEEPER_HPP

#include "gateway/decision_log.hpp"

#include <caperpath/base/clock.hpp>
#include <caperpath/fleet/roster.hpp>
#include <caperpath/store/async_port.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <string>

namespace caperpath::gateway
{

/// Writes this router's heartbeat row and reads those of the others. Loop
/// thread only; outlives its calls, and `log` outlives it.
class roster_keeper
{
public:
    roster_keeper(boost::asio::any_io_executor const& executor,
                  store::async_port port, incarnation_id self,
                  std::string address, decision_log& log);

    /// Begins; call once.
    void start();

    /// Removes the own row: the process is about to end.
    void leave();

    fleet::roster const& members() const;

    /// The most routers that may be alive.
    std::int64_t alive() const;

    /// The VMs that they run at; at least 1.
    std::int64_t alive_vms() const;

private:
    void beat();
    void read();
    void remove_dead();
    void take(std::vector<store::row> const& rows);

    boost::asio::steady_timer beat_timer;
    boost::asio::steady_timer read_timer;
    store::async_port port;
    incarnation_id self;
    std::string address;
    decision_log& log;
    caperpath::clock now{caperpath::clock::monotonic()};
    fleet::roster known;
    std::int64_t last_alive{};
    bool leaving{false};
};

} // namespace caperpath::gateway

#endif
