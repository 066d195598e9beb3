#include "gateway/peer_packet.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <sstream>

namespace caperpath
{

template <class Archive, class Tag>
void serialize(Archive& archive, basic_id<Tag>& one)
{
    archive(one.value);
}

} // namespace caperpath

namespace caperpath::budget
{

template <class Archive>
void serialize(Archive& archive, transfer& one)
{
    archive(one.number, one.budget, one.tokens);
}

} // namespace caperpath::budget

namespace caperpath::gateway
{

namespace
{

/// First byte of each packet: packets of another format version are rejected.
constexpr std::uint8_t format = 1;

bool is_valid(peer_packet const& packet)
{
    auto const none_negative = [](auto const& entries)
    {
        for (auto const& one : entries)
        {
            if (one.tokens < 0)
            {
                return false;
            }
        }
        return true;
    };
    return none_negative(packet.transfers) &&
           none_negative(packet.token_requests) &&
           none_negative(packet.recalls);
}

} // namespace

template <class Archive>
void serialize(Archive& archive, stock_report& one)
{
    archive(one.budget, one.free, one.spent, one.requests);
}

template <class Archive>
void serialize(Archive& archive, token_request& one)
{
    archive(one.budget, one.number, one.tokens);
}

template <class Archive>
void serialize(Archive& archive, token_rejection& one)
{
    archive(one.budget, one.number, one.retry_ms);
}

template <class Archive>
void serialize(Archive& archive, token_recall& one)
{
    archive(one.budget, one.tokens);
}

template <class Archive>
void serialize(Archive& archive, peer_packet& one)
{
    archive(one.from, one.to, one.all_requests, one.transfers, one.confirmed,
            one.reports, one.token_requests, one.token_rejections, one.recalls);
}

std::string encode(peer_packet const& packet)
{
    std::ostringstream bytes;
    cereal::PortableBinaryOutputArchive archive{bytes};
    archive(format, packet);
    return bytes.str();
}

result<peer_packet> decode_packet(std::string const& bytes)
{
    peer_packet packet;
    std::uint8_t found{};
    try
    {
        std::istringstream from{bytes};
        cereal::PortableBinaryInputArchive archive{from};
        archive(found);
        if (found == format)
        {
            archive(packet);
        }
    }
    catch (std::exception const& fault)
    {
        return fail(
            {error_kind::invalid, "decode packet", "router", fault.what()});
    }
    if (found != format || !is_valid(packet))
    {
        return fail({error_kind::invalid, "decode packet", "router",
                     "unknown format or a negative count"});
    }
    return packet;
}

} // namespace caperpath::gateway
