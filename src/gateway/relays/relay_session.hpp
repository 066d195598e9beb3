#ifndef CAPERPATH_SRC_GATEWAY_RELAYS_RELAY_SESSION_HPP
#define CAPERPATH_SRC_GATEWAY_RELAYS_RELAY_SESSION_HPP

#include "gateway/connection.hpp"
#include "gateway/core.hpp"

#include <boost/asio/awaitable.hpp>

namespace caperpath::gateway
{

/// Serves the connection of another router that has no path to a backend
/// server: connects to the server directly, never through a third router, and
/// forwards bytes both ways until either side ends. The bytes stay those of the
/// other router's request, which it alone accounts for. Loop thread only;
/// `shared` must outlive it.
asio::awaitable<void> serve_relay(core& shared, tcp::socket socket);

} // namespace caperpath::gateway

#endif
