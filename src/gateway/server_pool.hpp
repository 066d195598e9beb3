#ifndef CAPERPATH_SRC_GATEWAY_SERVER_POOL_HPP
#define CAPERPATH_SRC_GATEWAY_SERVER_POOL_HPP

#include "gateway/connection.hpp"

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/fleet/server_path.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace caperpath::gateway
{

/// A connection to a server, or why there is none.
struct connect_result
{
    connection_ptr link; ///< null unless `reached`
    fleet::connect_outcome outcome{fleet::connect_outcome::silent};
    bool is_new{false}; ///< false for an idle connection
};

/// A pool of connections to backend servers. An acquired connection is used
/// exclusively until it is released. Loop thread only.
class server_pool
{
public:
    /// `on_result` is called with whether the server responded: `true` also if
    /// an exchange on a kept connection ended cleanly, `false` if nothing came
    /// back within the whole `connect_timeout`. A shorter wait without a
    /// response proves nothing and is not reported.
    server_pool(asio::any_io_executor executor,
                std::function<void(bool answered)> on_result);

    /// Returns an idle connection that was used within `max_idle`, or a new
    /// one; none if connecting failed or took longer than `longest`, at most
    /// `connect_timeout`.
    asio::awaitable<connect_result> acquire(backend_server_id const& server,
                                            std::string const& address,
                                            duration max_idle,
                                            duration longest);

    /// Keeps a connection whose last exchange ended cleanly, for at most
    /// `idle_timeout`. @pre no bytes are unsent or unread.
    void release(backend_server_id const& server, connection_ptr link,
                 duration idle_timeout);

    /// Closes the idle connections of a server that has ended or was restarted.
    void drop(backend_server_id const& server);

    /// Closes connections that were idle for too long or that the server
    /// closed.
    void sweep();

    /// Number of connections made since the start.
    std::uint64_t created() const;

private:
    struct idle_connection
    {
        connection_ptr link;
        time_point until;
    };

    connection_ptr acquire_idle(backend_server_id const& server,
                                duration max_idle);

    asio::any_io_executor executor;
    std::function<void(bool answered)> on_result;
    std::map<backend_server_id, std::vector<idle_connection>> idle;
    std::uint64_t connections_made{};
};

/// Servers accept a connection within milliseconds. If the first packet is
/// lost, the kernel resends it only after a second, so trying another server is
/// faster.
inline constexpr duration connect_timeout{250};

} // namespace caperpath::gateway

#endif
