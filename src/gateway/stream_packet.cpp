#include "gateway/stream_packet.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <sstream>

namespace caperpath::fleet
{

template <class Archive>
void serialize(Archive& archive, stream_report& one)
{
    archive(one.version, one.only_version);
}

} // namespace caperpath::fleet

namespace caperpath::gateway
{

namespace
{

/// Second byte of each packet, behind the archive's byte order; differs from
/// the formats of all other packets.
constexpr std::uint8_t format = 0x53;
constexpr std::size_t format_at = 1;

} // namespace

template <class Archive>
void serialize(Archive& archive, version_note& one)
{
    archive(one.version, one.streams);
}

template <class Archive>
void serialize(Archive& archive, version_query& one)
{
    archive(one.number, one.stream, one.service.value);
}

template <class Archive>
void serialize(Archive& archive, version_reply& one)
{
    archive(one.number, one.report);
}

template <class Archive>
void serialize(Archive& archive, stream_packet& one)
{
    archive(one.notes, one.queries, one.replies);
}

bool is_stream_packet(std::string const& bytes)
{
    return bytes.size() > format_at &&
           static_cast<std::uint8_t>(bytes[format_at]) == format;
}

std::string encode(stream_packet const& packet)
{
    std::ostringstream bytes;
    cereal::PortableBinaryOutputArchive archive{bytes};
    archive(format, packet);
    return bytes.str();
}

result<stream_packet> decode_stream_packet(std::string const& bytes)
{
    stream_packet packet;
    std::uint8_t found{};
    try
    {
        std::istringstream from{bytes};
        cereal::PortableBinaryInputArchive archive{from};
        archive(found, packet);
    }
    catch (std::exception const& fault)
    {
        return fail({error_kind::invalid, "decode stream packet", "router",
                     fault.what()});
    }
    if (found != format)
    {
        return fail({error_kind::invalid, "decode stream packet", "router",
                     "unknown format"});
    }
    return packet;
}

} // namespace caperpath::gateway
