#ifndef CAPERPATH_SRC_GATEWAY_SERVERS_SERVER_POOL_HPP
#define CAPERPATH_SRC_GATEWAY_SERVERS_SERVER_POOL_HPP

#include "gateway/connection.hpp"

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>

#include <functional>
#include <map>
#include <vector>

namespace caperpath::gateway
{

/// Idle connections to backend servers. An acquired connection is used
/// exclusively until it is released. Loop thread only.
class server_pool
{
public:
    /// `on_exchange` is called when an exchange on a kept connection has ended
    /// cleanly.
    explicit server_pool(std::function<void()> on_exchange);

    /// Returns an idle connection that was used within `max_idle`; null if
    /// there is none.
    connection_ptr acquire(backend_server_id const& server, duration max_idle);

    /// Keeps a connection whose last exchange ended cleanly, for at most
    /// `idle_timeout`. @pre no bytes are unsent or unread.
    void release(backend_server_id const& server, connection_ptr link,
                 duration idle_timeout);

    /// Closes the idle connections of a server that has ended or was restarted.
    void drop(backend_server_id const& server);

    /// Closes connections that were idle for too long or that the server
    /// closed.
    void sweep();

private:
    struct idle_connection
    {
        connection_ptr link;
        time_point until;
    };

    std::function<void()> on_exchange;
    std::map<backend_server_id, std::vector<idle_connection>> idle;
};

} // namespace caperpath::gateway

#endif
