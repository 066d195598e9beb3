#ifndef CAPERPATH_TESTS_SOAK_PACKET_FILTER_HPP
#define CAPERPATH_TESTS_SOAK_PACKET_FILTER_HPP

#include <boost/asio/ip/tcp.hpp>

namespace caperpath::soak
{

/// Makes the kernel drop all packets that arrive for an open socket, so that
/// the peer gets no acknowledgement, as if its path delivered nothing.
void drop_packets(boost::asio::ip::tcp::socket& socket);

/// Ends this. Does nothing if the socket is closed.
void take_packets(boost::asio::ip::tcp::socket& socket);

} // namespace caperpath::soak

#endif
