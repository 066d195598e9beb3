#include "gateway/servers/send_limit_packet.hpp"

#include "gateway/packet_format.hpp"

#include <cereal/types/string.hpp>

#include <cmath>

namespace caperpath::gateway
{

namespace
{

/// Differs from the formats of all other packets.
constexpr std::uint8_t format = 0x4c;

bool is_valid(send_limit_packet const& packet)
{
    auto const& query = packet.query;
    return std::isfinite(query.per_second) && query.per_second >= 0 &&
           query.age >= duration{0} && packet.reply.grant.wait >= duration{0};
}

} // namespace

template <class Archive>
void serialize(Archive& archive, send_limit_packet& one)
{
    archive(one.is_reply);
    if (one.is_reply)
    {
        archive(one.reply.number, one.reply.grant.granted,
                one.reply.grant.wait.ms, one.reply.limit_ended,
                one.reply.has_place);
        return;
    }
    archive(one.query.number, one.query.server.value, one.query.per_second,
            one.query.age.ms, one.query.longest.ms, one.query.place);
}

bool is_send_limit_packet(std::string const& bytes)
{
    return has_format(bytes, format);
}

std::string encode(send_limit_packet const& packet)
{
    return encode_packet(format, packet);
}

result<send_limit_packet> decode_send_limit_packet(std::string const& bytes)
{
    constexpr char step[] = "decode send limit packet";
    BOOST_LEAF_AUTO(packet,
                    decode_packet_of<send_limit_packet>(format, bytes, step));
    if (!is_valid(packet))
    {
        return fail(
            {error_kind::invalid, step, "router", "a value out of range"});
    }
    return packet;
}

} // namespace caperpath::gateway
