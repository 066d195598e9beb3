#ifndef CAPERPATH_SRC_GATEWAY_SERVERS_TIMED_CONNECT_HPP
#define CAPERPATH_SRC_GATEWAY_SERVERS_TIMED_CONNECT_HPP

#include "gateway/connection.hpp"

#include <caperpath/base/clock.hpp>
#include <caperpath/fleet/server_path.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <string>

namespace caperpath::gateway
{

/// Silence timeout of connections to servers and routers. Peers in the same
/// region acknowledge within a few ms; one or two lost packets add some hundred
/// ms.
inline constexpr std::chrono::milliseconds peer_silence_timeout{1'500};

/// A new connection, or why there is none.
struct connect_result
{
    connection_ptr link; ///< null unless `reached`; already reading
    fleet::connect_outcome outcome{fleet::connect_outcome::silent};
};

/// Connects to "IP:port" within `limit`. All arguments must outlive the call.
/// Loop thread only.
asio::awaitable<connect_result>
timed_connect(asio::any_io_executor const& executor, std::string const& address,
              duration limit);

} // namespace caperpath::gateway

#endif
