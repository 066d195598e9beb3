#ifndef CAPERPATH_SRC_GATEWAY_SERVERS_REJECTION_PACKET_HPP
#define CAPERPATH_SRC_GATEWAY_SERVERS_REJECTION_PACKET_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/error.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/fleet/rejection_limit.hpp>

#include <cstdint>
#include <string>

/// Messages about brittle servers, between a router and the one that grants the
/// sends to a server, and between routers that know of a limit and others. One
/// datagram each.
namespace caperpath::gateway
{

enum class rejection_message : std::uint8_t
{
    query,
    outcome,
    reply,
    limits_query, ///< of a router that has started
    limit         ///< of one service
};

struct rejection_packet
{
    rejection_message kind{};
    std::uint64_t number{}; ///< of the query, repeated in the reply
    backend_server_id server;
    std::uint64_t send{}; ///< differs between sends
    double per_second{};  ///< rejections that the server takes
    std::uint8_t place{}; ///< of the receiver among those that may grant
    fleet::send_outcome outcome{};
    fleet::unconfirmed_send_grant grant{};
    bool has_place{false}; ///< the router is one of those that may grant
    service_id service;    ///< of a limit
    duration age{};        ///< of what the service said, if it is a limit

    friend bool operator==(rejection_packet const&,
                           rejection_packet const&) = default;
};

/// True if `bytes` begin as an encoded packet of this kind. Thread safe.
bool is_rejection_packet(std::string const& bytes);

/// Encode and decode a packet; decoding fails with error `invalid` if the bytes
/// are malformed. Thread safe.
std::string encode(rejection_packet const& packet);
result<rejection_packet> decode_rejection_packet(std::string const& bytes);

} // namespace caperpath::gateway

#endif
