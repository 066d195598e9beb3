#ifndef CAPERPATH_SRC_GATEWAY_PACKET_FORMAT_HPP
#define CAPERPATH_SRC_GATEWAY_PACKET_FORMAT_HPP

#include <caperpath/base/error.hpp>

#include <cereal/archives/portable_binary.hpp>

#include <cstddef>
#include <cstdint>
#include <exception>
#include <sstream>
#include <string>

/// Encodes packets with a byte that tells their format, so that datagrams of
/// several kinds share one port.
namespace caperpath::gateway
{

/// True if `bytes` begin as a packet of `format`: behind the byte order of the
/// archive. Thread safe.
inline bool has_format(std::string const& bytes, std::uint8_t format)
{
    constexpr std::size_t format_at = 1;
    return bytes.size() > format_at &&
           static_cast<std::uint8_t>(bytes[format_at]) == format;
}

/// Thread safe. @pre cereal can serialize `packet`.
template <class Packet>
std::string encode_packet(std::uint8_t format, Packet const& packet)
{
    std::ostringstream bytes;
    cereal::PortableBinaryOutputArchive archive{bytes};
    archive(format, packet);
    return bytes.str();
}

/// Fails with error `invalid` and `step` if the bytes are malformed or of
/// another format, of which nothing is read: its lengths may be any numbers.
/// Thread safe.
template <class Packet>
result<Packet> decode_packet_of(std::uint8_t format, std::string const& bytes,
                                char const* step)
{
    Packet packet;
    try
    {
        std::istringstream from{bytes};
        cereal::PortableBinaryInputArchive archive{from};
        std::uint8_t found{};
        archive(found);
        if (found != format)
        {
            return fail(
                {error_kind::invalid, step, "router", "unknown format"});
        }
        archive(packet);
    }
    catch (std::exception const& fault)
    {
        return fail({error_kind::invalid, step, "router", fault.what()});
    }
    return packet;
}

} // namespace caperpath::gateway

#endif
