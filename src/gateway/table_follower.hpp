#ifndef CAPERPATH_SRC_GATEWAY_TABLE_FOLLOWER_HPP
#define CAPERPATH_SRC_GATEWAY_TABLE_FOLLOWER_HPP

#include <caperpath/store/async_port.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace caperpath::gateway
{

/// Whom a follower tells what it saw.
struct table_listener
{
    /// The whole table; what is not in it does not exist.
    std::function<void(store::feed_page const&)> listed;

    /// Rows that changed.
    std::function<void(store::feed_page const&)> changed;

    /// A call was answered, or a second one in a row was not.
    std::function<void(bool reachable, error const& why)> reached;

    /// The first call that was not answered; if not set, nobody is told.
    std::function<void(error const& why)> missed{};

    /// The pause before the next call for changes, so that a table that changes
    /// all the time does not cost a call a change; if not set, there is none.
    std::function<duration()> pause{};
};

/// Keeps up with a table that others write: reads it whole, then follows its
/// changes. After any failed call it reads the table whole again: changes may
/// have been lost with the connection or dropped from the history, and a gap
/// that is not noticed leaves a revoked key or a stopped server in force.
/// Loop thread only; outlives its calls.
class table_follower
{
public:
    table_follower(boost::asio::any_io_executor const& executor,
                   store::async_port port, std::string table,
                   table_listener listener);

    /// Begins; call once.
    void start();

private:
    void list();
    void follow();
    void after(duration pause, std::function<void()> next);
    void retry(error const& why);

    store::async_port port;
    std::string table;
    table_listener listener;
    boost::asio::steady_timer timer;
    std::uint64_t version{};
    int failures{};
};

} // namespace caperpath::gateway

#endif
