#ifndef CAPERPATH_SRC_GATEWAY_FOLLOWERS_TABLE_FOLLOWER_HPP
#define CAPERPATH_SRC_GATEWAY_FOLLOWERS_TABLE_FOLLOWER_HPP

#include "gateway/decision_log.hpp"

#include <caperpath/store/async_port.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace caperpath::gateway
{

/// A change must take effect within two seconds of its acknowledgement. A call
/// on a silent connection ends after this time plus `poll_timeout`, which
/// leaves time to read the change anew.
inline constexpr duration default_hold{600};

/// Callbacks and options of a `table_follower`. An exception of a callback is
/// logged. After one of `on_snapshot` or `on_change` the whole table is read
/// again.
struct table_listener
{
    /// The whole table was read; rows that are not in the page do not exist.
    std::function<void(store::feed_page const&)> on_snapshot;

    /// Rows changed.
    std::function<void(store::feed_page const&)> on_change;

    /// The store responded, or failed to do so twice in a row.
    std::function<void(bool reachable, error const& why)> on_reachability;

    /// A call failed after one that succeeded. Optional.
    std::function<void(error const& why)> on_first_failure{};

    /// Delay before the next call for changes, so that a table that changes
    /// constantly does not cost one call per change. No delay if not set.
    std::function<duration()> poll_delay{};

    /// How long the store holds a call while there are no changes. A connection
    /// that goes silent is detected after this time plus the response timeout.
    duration hold{default_hold};

    /// The hold grows up to this value while no call is lost; it does not grow
    /// if this is not set. Must be less than the time for which the store keeps
    /// its history, or each lost call causes a read of the whole table.
    duration max_hold{};
};

/// Follows a table that others write: reads it whole, then receives its
/// changes. After a lost call it continues from the last known version. If the
/// store has dropped that part of its history, or after an outage, it reads the
/// whole table again: an unnoticed gap would leave a revoked key or a stopped
/// server in use.
///
/// Loop thread only; must outlive its calls, and `log` must outlive it.
class table_follower
{
public:
    /// `salt` differs between routers, to spread their retries.
    table_follower(boost::asio::any_io_executor const& executor,
                   store::async_port port, std::string table,
                   table_listener listener, std::size_t salt,
                   decision_log& log);

    /// Starts to follow the table; call once.
    void start();

    /// Replaces a pending call for changes at once. Use it after another call
    /// to the store was lost, since the pending one may be lost too.
    void restart_poll();

private:
    void list();
    bool deliver(std::function<void(store::feed_page const&)> const& handler,
                 store::feed_page const& page);
    void follow(duration hold);
    void follow_next();
    void schedule(duration pause, std::function<void()> next);
    void retry(error const& why);
    void schedule_retry();

    store::async_port port;
    std::string table;
    table_listener listener;
    std::size_t salt;
    decision_log& log;
    boost::asio::steady_timer timer;
    std::uint64_t version{};
    duration hold{};              ///< for the next call for changes
    bool may_restart_poll{false}; ///< a call for changes is pending that
    ///< is not itself a replacement, so that several lost calls
    ///< replace it only once
    std::uint64_t calls_sent{}; ///< calls for changes; responses to older ones
                                ///< are ignored
    bool is_current{false};     ///< all changes up to `version` are known
    int failures{}; ///< consecutive calls without a response, or with one that
                    ///< could not be applied
    int lost_polls{}; ///< consecutive calls for changes without a response
};

} // namespace caperpath::gateway

#endif
