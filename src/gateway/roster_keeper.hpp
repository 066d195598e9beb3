#ifndef CAPERPATH_SRC_GATEWAY_ROSTER_KEEPER_HPP
#define CAPERPATH_SRC_GATEWAY_ROSTER_KEEPER_HPP

#include "gateway/decision_log.hpp"

#include <caperpath/base/clock.hpp>
#include <caperpath/fleet/roster.hpp>
#include <caperpath/fleet/slack_share.hpp>
#include <caperpath/store/async_port.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace caperpath::gateway
{

/// Writes this router's heartbeat row and reads those of the others. Loop
/// thread only; outlives its calls, and `log` outlives it.
class roster_keeper
{
public:
    /// `window` is that of the limit on repeats.
    roster_keeper(boost::asio::any_io_executor const& executor,
                  store::async_port port, incarnation_id self,
                  std::string address, duration window, decision_log& log);

    /// Begins; call once.
    void start();

    /// Removes the own row: the process is about to end.
    void leave();

    /// The VMs with a live router by the latest read; at least 1.
    std::int64_t alive_vms() const;

    /// The live routers by the address for datagrams, by the latest read.
    std::map<std::string, incarnation_id> live_routers() const;

    /// Reads of the rows so far.
    std::uint64_t reads() const;

    /// Among how many routers the slack of the limit on repeats is divided now;
    /// 0 when none of it is this router's.
    std::int64_t slack_sharers() const;

    /// How long ago the latest read of the rows was sent, for the log.
    duration view_age() const;

private:
    void beat();
    void beat_after(duration pause);
    void read();
    void read_after(duration pause);
    void remove_dead();
    void take(std::vector<store::row> const& rows,
              fleet::call_times const& times);

    boost::asio::steady_timer beat_timer;
    boost::asio::steady_timer read_timer;
    store::async_port port;
    incarnation_id self;
    std::string address;
    duration window;
    decision_log& log;
    caperpath::clock now{caperpath::clock::boot()};
    fleet::roster known;
    fleet::slack_lease lease;
    std::int64_t last_alive{};
    std::uint64_t read_count{};
    bool leaving{false};
};

} // namespace caperpath::gateway

#endif
