#include "gateway/relays/relay_message.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>

using namespace caperpath;
using namespace caperpath::gateway;

class relay_message_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(relay_message_test);
    CPPUNIT_TEST(a_message_is_read_once_it_is_complete);
    CPPUNIT_TEST(a_request_without_the_newest_field_is_read);
    CPPUNIT_TEST(malformed_bytes_are_rejected);
    CPPUNIT_TEST_SUITE_END();

    static void append(boost::beast::flat_buffer& to, std::string const& bytes)
    {
        auto const space = to.prepare(bytes.size());
        std::copy(bytes.begin(), bytes.end(), static_cast<char*>(space.data()));
        to.commit(bytes.size());
    }

    // Guards against bytes of the relayed connection that are taken for a part
    // of the message, and against waiting for more than the message.
    void a_message_is_read_once_it_is_complete()
    {
        auto const holds = rc::check(
            [](std::string const& more)
            {
                relay_reply const sent{relay_outcome::silent, true};
                auto const bytes = encode(sent);
                boost::beast::flat_buffer input;
                for (auto const byte : bytes.substr(0, bytes.size() - 1))
                {
                    append(input, std::string(1, byte));
                    auto const part =
                        value_or_error([&] { return take_relay_reply(input); });
                    RC_ASSERT(!std::get<std::optional<relay_reply>>(part));
                }
                append(input, bytes.substr(bytes.size() - 1) + more);
                auto const whole =
                    value_or_error([&] { return take_relay_reply(input); });
                RC_ASSERT(std::get<std::optional<relay_reply>>(whole) == sent);
                RC_ASSERT(input.size() == more.size());
            });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against a relay that rejects the requests of older routers.
    void a_request_without_the_newest_field_is_read()
    {
        for (auto const length_of_field : {std::size_t{0}, std::size_t{1}})
        {
            auto bytes = encode(relay_request{{"i-1"}, true, true});
            bytes.resize(bytes.size() - length_of_field);
            bytes[1] = static_cast<char>(bytes.size() - 2);
            boost::beast::flat_buffer input;
            append(input, bytes);
            auto const read =
                value_or_error([&] { return take_relay_request(input); });
            relay_request const expected{{"i-1"}, true, length_of_field == 0};
            CPPUNIT_ASSERT(std::get<std::optional<relay_request>>(read) ==
                           expected);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, input.size());
        }
    }

    // Guards against a router that crashes on another protocol at its port.
    void malformed_bytes_are_rejected()
    {
        for (std::string const& bytes :
             {std::string{"GET / HTTP/1.1\r\n"}, std::string{"\0\3abc", 5}})
        {
            boost::beast::flat_buffer input;
            append(input, bytes);
            auto const read =
                value_or_error([&] { return take_relay_request(input); });
            CPPUNIT_ASSERT(std::holds_alternative<error>(read));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_message_test);
