#ifndef CAPERPATH_SRC_GATEWAY_PACKET_TIMES_HPP
#define CAPERPATH_SRC_GATEWAY_PACKET_TIMES_HPP

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace caperpath::gateway
{

/// Finds out whether the kernel tells when the latest packet of a connection
/// arrived, over a loopback connection of its own: emulated kernels report 0 at
/// any time. False if the connection fails. Loop thread only.
boost::asio::awaitable<bool>
kernel_tells_packet_times(boost::asio::any_io_executor executor);

} // namespace caperpath::gateway

#endif
