#include "gateway/requests/stream_packet.hpp"

#include "gateway/packet_format.hpp"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>

namespace caperpath::fleet
{

template <class Archive>
void serialize(Archive& archive, stream_source& one)
{
    archive(one.version, one.server);
}

template <class Archive>
void serialize(Archive& archive, stream_sources& one)
{
    archive(one.version, one.servers);
}

template <class Archive>
void serialize(Archive& archive, stream_report& one)
{
    archive(one.sources, one.only_version, one.uncertain);
}

} // namespace caperpath::fleet

namespace caperpath::gateway
{

namespace
{

/// Differs from the formats of all other packets.
constexpr std::uint8_t format = 0x54;
constexpr std::size_t most_note_bytes = 1'000; ///< in one packet
/// Of a note without its version and streams: three lengths or numbers.
constexpr std::size_t note_head_bytes = 24;

} // namespace

template <class Archive>
void serialize(Archive& archive, version_note& one)
{
    archive(one.source, one.streams);
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
    return has_format(bytes, format);
}

std::string encode(stream_packet const& packet)
{
    return encode_packet(format, packet);
}

std::vector<stream_packet> note_packets(fleet::streams_by_source const& streams)
{
    constexpr auto stream_bytes = sizeof(fleet::stream_key);
    std::vector<stream_packet> packets;
    std::size_t room = 0;
    for (auto const& [source, keys] : streams)
    {
        auto const head = note_head_bytes + source.version.size();
        auto const least = head + stream_bytes;
        for (auto at = keys.begin(); at != keys.end();)
        {
            if (room < least)
            {
                packets.emplace_back();
                room = std::max(most_note_bytes, least);
            }
            auto const fit = std::min(
                static_cast<std::ptrdiff_t>((room - head) / stream_bytes),
                keys.end() - at);
            packets.back().notes.push_back({source, {at, at + fit}});
            room -= head + static_cast<std::size_t>(fit) * stream_bytes;
            at += fit;
        }
    }
    return packets;
}

result<stream_packet> decode_stream_packet(std::string const& bytes)
{
    return decode_packet_of<stream_packet>(format, bytes,
                                           "decode stream packet");
}

} // namespace caperpath::gateway
