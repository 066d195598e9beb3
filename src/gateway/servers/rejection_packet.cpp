#include "gateway/servers/rejection_packet.hpp"

#include "gateway/packet_format.hpp"

#include <cereal/types/string.hpp>

#include <cmath>

namespace caperpath::gateway
{

namespace
{

/// Differs from the formats of all other packets.
constexpr std::uint8_t format = 0x52;

bool is_valid(rejection_packet const& packet)
{
    return packet.kind <= rejection_message::limit &&
           packet.outcome <= fleet::send_outcome::unknown &&
           std::isfinite(packet.per_second) && packet.per_second >= 0 &&
           packet.grant.wait >= duration{0} && packet.age >= duration{0};
}

} // namespace

template <class Archive>
void serialize(Archive& archive, rejection_packet& one)
{
    archive(one.kind, one.number, one.server.value, one.send, one.per_second,
            one.place, one.outcome, one.grant.granted, one.grant.wait.ms,
            one.has_place, one.service.value, one.age.ms);
}

bool is_rejection_packet(std::string const& bytes)
{
    return has_format(bytes, format);
}

std::string encode(rejection_packet const& packet)
{
    return encode_packet(format, packet);
}

result<rejection_packet> decode_rejection_packet(std::string const& bytes)
{
    constexpr char step[] = "decode rejection packet";
    BOOST_LEAF_AUTO(packet,
                    decode_packet_of<rejection_packet>(format, bytes, step));
    if (!is_valid(packet))
    {
        return fail(
            {error_kind::invalid, step, "router", "a value out of range"});
    }
    return packet;
}

} // namespace caperpath::gateway
