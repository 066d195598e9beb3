#ifndef CAPERPATH_SRC_GATEWAY_CRASHES_PROBATION_PACKET_HPP
#define CAPERPATH_SRC_GATEWAY_CRASHES_PROBATION_PACKET_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/error.hpp>

#include <cstdint>
#include <string>

/// Messages about leases of requests on probation, between a router and the one
/// that grants them. One datagram each.
namespace caperpath::gateway
{

enum class probation_message : std::uint8_t
{
    acquire,
    release,
    reply
};

struct probation_packet
{
    probation_message kind{};
    std::uint64_t number{}; ///< of the query; 0 if no reply is wanted
    std::string suspect;    ///< not in a reply
    std::uint64_t holder{}; ///< of the lease
    duration pause{};       ///< after a release
    bool granted{false};    ///< in a reply
    bool has_place{false};  ///< in a reply: the router may grant it

    friend bool operator==(probation_packet const&,
                           probation_packet const&) = default;
};

/// True if `bytes` begin as an encoded packet of this kind. Thread safe.
bool is_probation_packet(std::string const& bytes);

/// Encode and decode a packet; decoding fails with error `invalid` if the bytes
/// are malformed. Thread safe.
std::string encode(probation_packet const& packet);
result<probation_packet> decode_probation_packet(std::string const& bytes);

} // namespace caperpath::gateway

#endif
