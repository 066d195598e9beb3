#ifndef CAPERPATH_SRC_GATEWAY_FOLLOWERS_MEMBERSHIP_TRACKER_HPP
#define CAPERPATH_SRC_GATEWAY_FOLLOWERS_MEMBERSHIP_TRACKER_HPP

#include "gateway/decision_log.hpp"

#include <caperpath/base/clock.hpp>
#include <caperpath/fleet/membership.hpp>
#include <caperpath/fleet/retry_allowance.hpp>
#include <caperpath/store/async_port.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace caperpath::gateway
{

/// Writes the heartbeat row of this router and reads those of the others. Loop
/// thread only; must outlive its calls, and `log` must outlive it.
class membership_tracker
{
public:
    /// `window` is the window of the retry limit.
    membership_tracker(boost::asio::any_io_executor const& executor,
                       store::async_port port, incarnation_id self,
                       std::string address, duration window, decision_log& log);

    /// Starts heartbeats and reads; call once.
    void start();

    /// Removes the own row, before the process exits.
    void remove_own_row();

    /// Number of VMs with a live router as of the latest read; at least 1.
    std::int64_t alive_vms() const;

    /// The live routers by their address for datagrams, as of the latest read.
    std::map<std::string, incarnation_id> live_routers() const;

    /// Number of completed reads of the rows.
    std::uint64_t completed_reads() const;

    /// Number of routers that divide the retry allowance now; 0 if this router
    /// may use no part of it.
    std::int64_t retry_sharers() const;

    /// Time since the latest completed read was sent, for the log.
    duration read_age() const;

private:
    void send_heartbeat();
    void heartbeat_after(duration pause);
    void read_members();
    void read_members_after(duration pause);
    void remove_dead_rows();
    bool take_rows(std::variant<std::vector<store::row>, error> const& reply,
                   instant sent);
    void apply(std::vector<store::row> const& rows,
               fleet::call_times const& times);

    boost::asio::steady_timer heartbeat_timer;
    boost::asio::steady_timer read_timer;
    store::async_port port;
    incarnation_id self;
    std::string address;
    duration window;
    decision_log& log;
    caperpath::clock now{caperpath::clock::boot()};
    fleet::membership known;
    fleet::retry_allowance_lease lease;
    std::int64_t last_alive{};
    std::uint64_t read_count{};
    bool leaving{false};
};

} // namespace caperpath::gateway

#endif
