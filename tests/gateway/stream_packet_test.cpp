#include "gateway/packet_format.hpp"
#include "gateway/requests/stream_packet.hpp"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

using namespace caperpath;
using namespace caperpath::gateway;

/// What routers tell each other, and the store, about streams.
class stream_packet_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stream_packet_test);
    CPPUNIT_TEST(a_packet_survives_encoding);
    CPPUNIT_TEST(the_format_without_servers_is_an_error);
    CPPUNIT_TEST(notes_fit_in_datagrams);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a field that is lost on the way, above all the doubt.
    void a_packet_survives_encoding()
    {
        stream_packet packet;
        packet.notes = {{{"v1", 7}, {1, 2}}, {{"v1", 8}, {2}}, {{}, {3}}};
        packet.queries = {{4, 5, {"s"}}};
        packet.replies = {{6, {{"v1", {7, 8}}, "v2", true}}};
        auto const bytes = encode(packet);
        CPPUNIT_ASSERT(is_stream_packet(bytes));
        auto const decoded =
            value_or_error([&bytes] { return decode_stream_packet(bytes); });
        CPPUNIT_ASSERT(std::get<stream_packet>(decoded) == packet);
    }

    // Guards against a row of an older release that is taken for certain.
    void the_format_without_servers_is_an_error()
    {
        constexpr std::uint8_t old_format = 0x53;
        std::ostringstream bytes;
        {
            cereal::PortableBinaryOutputArchive archive{bytes};
            constexpr std::uint64_t one = 1;
            constexpr std::uint64_t none = 0;
            archive(old_format, one, std::string{"v1"},
                    std::vector<fleet::stream_key>{1, 2, 3}, none, none);
        }
        CPPUNIT_ASSERT(!is_stream_packet(bytes.str()));
        auto const decoded = value_or_error(
            [&bytes] { return decode_stream_packet(bytes.str()); });
        CPPUNIT_ASSERT(std::holds_alternative<error>(decoded));
    }

    // Guards against datagrams that are split or dropped on usual links, and
    // against streams that are left out.
    void notes_fit_in_datagrams()
    {
        constexpr std::size_t datagram_bytes = 1'200;
        fleet::streams_by_source streams;
        fleet::stream_key key = 0;
        for (fleet::server_key server = 1; server <= 300; ++server)
        {
            auto& keys = streams[{"version-" + std::to_string(server), server}];
            for (auto i = server % 200; i > 0; i /= 2)
            {
                keys.push_back(++key);
            }
        }
        auto& many = streams[{"v1", 1}];
        for (auto i = 0; i < 1'000; ++i)
        {
            many.push_back(++key);
        }
        streams[{std::string(2'000, 'v'), 1}] = {++key, ++key};
        fleet::streams_by_source noted;
        std::size_t too_long = 0;
        for (auto const& packet : note_packets(streams))
        {
            too_long += encode(packet).size() > datagram_bytes ? 1 : 0;
            for (auto const& note : packet.notes)
            {
                auto& keys = noted[note.source];
                keys.insert(keys.end(), note.streams.begin(),
                            note.streams.end());
            }
        }
        std::erase_if(streams,
                      [](auto const& entry) { return entry.second.empty(); });
        CPPUNIT_ASSERT(noted == streams);
        // Those of the long name.
        CPPUNIT_ASSERT(too_long <= 2);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_packet_test);
