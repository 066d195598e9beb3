#include "gateway/servers/server_notice_packet.hpp"

#include "gateway/packet_format.hpp"

#include <cereal/types/string.hpp>

namespace caperpath::gateway
{

namespace
{

/// Differs from the formats of all other packets.
constexpr std::uint8_t format = 0x4e;

} // namespace

template <class Archive>
void serialize(Archive& archive, server_notice_packet& one)
{
    archive(one.server.value, one.born_ms, one.leaves, one.age.ms, one.rest.ms);
}

bool is_server_notice_packet(std::string const& bytes)
{
    return has_format(bytes, format);
}

std::string encode(server_notice_packet const& packet)
{
    return encode_packet(format, packet);
}

result<server_notice_packet>
decode_server_notice_packet(std::string const& bytes)
{
    constexpr char step[] = "decode server notice packet";
    BOOST_LEAF_AUTO(
        packet, decode_packet_of<server_notice_packet>(format, bytes, step));
    if (packet.age < duration{0})
    {
        return fail(
            {error_kind::invalid, step, "router", "a value out of range"});
    }
    return packet;
}

} // namespace caperpath::gateway
