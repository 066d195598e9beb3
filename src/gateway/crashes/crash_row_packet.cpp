#include "gateway/crashes/crash_row_packet.hpp"

#include "gateway/packet_format.hpp"

#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>

#include <cstddef>
#include <cstdint>

namespace caperpath::gateway
{

namespace
{

/// Differs from the formats of all other packets.
constexpr std::uint8_t format = 0x43;
/// Fits in one packet of usual links.
constexpr std::size_t usual_size = 1'200;
/// Rows that do not fit in a datagram travel through the store alone.
constexpr std::size_t largest_row = 60'000;

} // namespace

bool is_crash_row_packet(std::string const& bytes)
{
    return has_format(bytes, format);
}

std::vector<std::string> encode_crash_rows(crash_row_values const& values)
{
    std::vector<std::string> datagrams;
    crash_row_values batch;
    std::size_t size = 0;
    auto const finish = [&]
    {
        if (!batch.empty())
        {
            datagrams.push_back(encode_packet(format, batch));
        }
        batch.clear();
        size = 0;
    };
    for (auto const& [key, value] : values)
    {
        auto const row_size = key.size() + value.size();
        if (row_size > largest_row)
        {
            continue;
        }
        if (size + row_size > usual_size)
        {
            finish();
        }
        batch[key] = value;
        size += row_size;
    }
    finish();
    return datagrams;
}

result<crash_row_values> decode_crash_rows(std::string const& bytes)
{
    return decode_packet_of<crash_row_values>(format, bytes,
                                              "decode crash row packet");
}

} // namespace caperpath::gateway
