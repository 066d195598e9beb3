#ifndef CAPERPATH_SRC_GATEWAY_REQUESTS_SESSION_HPP
#define CAPERPATH_SRC_GATEWAY_REQUESTS_SESSION_HPP

#include "gateway/connection.hpp"
#include "gateway/core.hpp"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace caperpath::gateway
{

/// Serves the connection of a caller until either side ends it: reads one
/// request at a time and reads the next after the response. Loop thread only.
/// `shared` must outlive it.
asio::awaitable<void> serve_caller(core& shared, tcp::socket socket);

} // namespace caperpath::gateway

#endif
