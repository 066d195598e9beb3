#ifndef CAPERPATH_SRC_GATEWAY_SERVERS_SERVER_NOTICE_PACKET_HPP
#define CAPERPATH_SRC_GATEWAY_SERVERS_SERVER_NOTICE_PACKET_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/error.hpp>
#include <caperpath/base/id.hpp>

#include <cstdint>
#include <string>

/// Tells another router what a server said of itself in a response. One
/// datagram.
namespace caperpath::gateway
{

struct server_notice_packet
{
    backend_server_id server;
    std::int64_t born_ms{}; ///< of its process; 0: unknown
    bool leaves{false};
    duration age{};  ///< since the request of that response was sent
    duration rest{}; ///< that the server wants from the receiver

    friend bool operator==(server_notice_packet const&,
                           server_notice_packet const&) = default;
};

/// True if `bytes` begin as an encoded packet of this kind. Thread safe.
bool is_server_notice_packet(std::string const& bytes);

/// Encode and decode a packet; decoding fails with error `invalid` if the bytes
/// are malformed. Thread safe.
std::string encode(server_notice_packet const& packet);
result<server_notice_packet>
decode_server_notice_packet(std::string const& bytes);

} // namespace caperpath::gateway

#endif
