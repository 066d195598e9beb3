#ifndef CAPERPATH_SRC_GATEWAY_SESSION_HPP
#define CAPERPATH_SRC_GATEWAY_SESSION_HPP

#include "gateway/connection.hpp"
#include "gateway/core.hpp"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace caperpath::gateway
{

/// Serves one caller's connection until either side ends it: reads one request
/// after the other and has each answered before the next. Loop thread only.
/// `shared` outlives it.
asio::awaitable<void> serve_caller(core& shared, tcp::socket socket);

} // namespace caperpath::gateway

#endif
