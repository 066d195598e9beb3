#ifndef CAPERPATH_SRC_GATEWAY_SERVERS_SEND_LIMIT_PACKET_HPP
#define CAPERPATH_SRC_GATEWAY_SERVERS_SEND_LIMIT_PACKET_HPP

#include <caperpath/base/error.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/fleet/send_limit.hpp>

#include <cstdint>
#include <string>

/// Messages about sends to servers that limit them, between a router and the
/// one that grants the sends. One datagram each.
namespace caperpath::gateway
{

/// Asks for a send, or only reports that a limit has ended.
struct send_query
{
    std::uint64_t number{}; ///< repeated in the reply; 0: no reply is wanted
    backend_server_id server;
    double per_second{};  ///< the latest limit that the sender knows; 0: none
    duration age{};       ///< since the sender heard it
    duration longest{};   ///< until the send at most
    std::uint8_t place{}; ///< of the receiver among those that may grant it

    friend bool operator==(send_query const&, send_query const&) = default;
};

struct send_reply
{
    std::uint64_t number{};
    fleet::send_grant grant{};
    bool limit_ended{false}; ///< the server names none any more
    bool has_place{false};   ///< the router is one of those that may grant

    friend bool operator==(send_reply const&, send_reply const&) = default;
};

/// One datagram: a query, or a reply if `is_reply`.
struct send_limit_packet
{
    bool is_reply{false};
    send_query query;
    send_reply reply;

    friend bool operator==(send_limit_packet const&,
                           send_limit_packet const&) = default;
};

/// True if `bytes` begin as an encoded packet of this kind. Thread safe.
bool is_send_limit_packet(std::string const& bytes);

/// Encode and decode a packet; decoding fails with error `invalid` if the bytes
/// are malformed. Thread safe.
std::string encode(send_limit_packet const& packet);
result<send_limit_packet> decode_send_limit_packet(std::string const& bytes);

} // namespace caperpath::gateway

#endif
