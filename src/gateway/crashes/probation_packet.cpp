#include "gateway/crashes/probation_packet.hpp"

#include "gateway/packet_format.hpp"

#include <cereal/types/string.hpp>

namespace caperpath::gateway
{

namespace
{

/// Differs from the formats of all other packets.
constexpr std::uint8_t format = 0x50;

} // namespace

template <class Archive>
void serialize(Archive& archive, probation_packet& one)
{
    archive(one.kind, one.number, one.suspect, one.holder, one.pause.ms,
            one.granted, one.has_place);
}

bool is_probation_packet(std::string const& bytes)
{
    return has_format(bytes, format);
}

std::string encode(probation_packet const& packet)
{
    return encode_packet(format, packet);
}

result<probation_packet> decode_probation_packet(std::string const& bytes)
{
    constexpr char step[] = "decode probation packet";
    BOOST_LEAF_AUTO(packet,
                    decode_packet_of<probation_packet>(format, bytes, step));
    if (packet.kind > probation_message::reply || packet.pause < duration{0})
    {
        return fail(
            {error_kind::invalid, step, "router", "a value out of range"});
    }
    return packet;
}

} // namespace caperpath::gateway
