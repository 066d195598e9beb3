#ifndef CAPERPATH_SRC_GATEWAY_SERVERS_SERVER_CHOICE_HPP
#define CAPERPATH_SRC_GATEWAY_SERVERS_SERVER_CHOICE_HPP

#include "gateway/requests/exchange.hpp"

#include <optional>

/// Chooses a server for a request. Loop thread only.
namespace caperpath::gateway
{

/// The server for the next attempt; empty if none takes the request now.
std::optional<fleet::placement> choose_server(exchange& current);

/// The server for another attempt of a request that is at `latest` now; empty
/// if no other one takes it.
std::optional<fleet::placement>
find_other_server(exchange const& current, backend_server_id const& latest);

/// True if no server may have run the request, and none takes it now,
/// including those that rejected it before.
bool lacks_servers(exchange const& current);

} // namespace caperpath::gateway

#endif
