#ifndef CAPERPATH_SRC_GATEWAY_SERVER_POOL_HPP
#define CAPERPATH_SRC_GATEWAY_SERVER_POOL_HPP

#include "gateway/connection.hpp"

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace caperpath::gateway
{

/// Connections to backend servers. One that is handed out is the taker's alone
/// until it is given back. Loop thread only.
class server_pool
{
public:
    /// `tried` is told of each server that answered or that nothing came back
    /// from, in the whole `connect_timeout`.
    server_pool(asio::any_io_executor executor,
                std::function<void(bool answered)> tried);

    /// A kept connection that was used within `max_idle`, or a new one; null if
    /// none was made in `longest`, at most `connect_timeout`.
    asio::awaitable<connection_ptr> take(backend_server_id const& server,
                                         std::string const& address,
                                         duration max_idle, duration longest);

    /// Keeps a connection whose last exchange ended cleanly, at most for
    /// `idle_timeout`. @pre nothing is unsent and nothing unread.
    void give_back(backend_server_id const& server, connection_ptr one,
                   duration idle_timeout);

    /// Closes the kept ones of a server that is gone or started anew.
    void forget(backend_server_id const& server);

    /// Closes those that were idle for too long or whose server ended them.
    void sweep();

    /// Connections made since the start.
    std::uint64_t made() const;

private:
    struct kept
    {
        connection_ptr one;
        time_point until;
    };

    connection_ptr take_kept(backend_server_id const& server,
                             duration max_idle);

    asio::any_io_executor executor;
    std::function<void(bool answered)> tried;
    std::map<backend_server_id, std::vector<kept>> idle;
    std::uint64_t connections_made{};
};

/// Servers answer a connect within some milliseconds; over a lossy link the
/// kernel sends its first packet again only after a second, so a new try at
/// another server is sooner.
inline constexpr duration connect_timeout{250};

} // namespace caperpath::gateway

#endif
