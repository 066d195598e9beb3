#ifndef CAPERPATH_SRC_GATEWAY_REQUESTS_STREAM_PACKET_HPP
#define CAPERPATH_SRC_GATEWAY_REQUESTS_STREAM_PACKET_HPP

#include <caperpath/base/error.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/fleet/stream_version.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// Messages about the versions of streams between routers, one datagram per
/// packet.
namespace caperpath::gateway
{

/// Streams that one server began or continued.
struct version_note
{
    fleet::stream_source source;
    std::vector<fleet::stream_key> streams;

    friend bool operator==(version_note const&, version_note const&) = default;
};

/// Asks for the version of a stream.
struct version_query
{
    std::uint64_t number{}; ///< repeated in the reply
    fleet::stream_key stream{};
    service_id service;

    friend bool operator==(version_query const&,
                           version_query const&) = default;
};

struct version_reply
{
    std::uint64_t number{};
    fleet::stream_report report;

    friend bool operator==(version_reply const&,
                           version_reply const&) = default;
};

/// One datagram.
struct stream_packet
{
    std::vector<version_note> notes;
    std::vector<version_query> queries;
    std::vector<version_reply> replies;

    friend bool operator==(stream_packet const&,
                           stream_packet const&) = default;
};

/// The notes of `streams` in packets that fit in one datagram each on usual
/// links. Thread safe.
std::vector<stream_packet>
note_packets(fleet::streams_by_source const& streams);

/// True if `bytes` begin as an encoded packet of this kind. Thread safe.
bool is_stream_packet(std::string const& bytes);

/// Encode and decode a packet; decoding fails with error `invalid` if the bytes
/// are malformed. Thread safe.
std::string encode(stream_packet const& packet);
result<stream_packet> decode_stream_packet(std::string const& bytes);

} // namespace caperpath::gateway

#endif
