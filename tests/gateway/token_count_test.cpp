#include "gateway/fleet_site.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace caperpath;
using namespace caperpath::gateway;

/// The counts of tokens that requests state, from which they are charged.
class token_count_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(token_count_test);
    CPPUNIT_TEST(a_count_with_white_space_is_charged);
    CPPUNIT_TEST(a_count_that_is_no_number_is_rejected);
    CPPUNIT_TEST_SUITE_END();

    /// A site whose only server completes a stream at once.
    struct scenario
    {
        scenario()
        {
            this->site.put_configuration(1, 1'000);
            this->site.wait_ready();
        }

        int send(std::string const& count)
        {
            return this->site
                .send("POST /chat/1 HTTP/1.1\r\nHost: site.example\r\n"
                      "Request-Id: r1\r\nDeadline-Ms: 1500\r\n"
                      "Authorization: Bearer key\r\nToken-Count: " +
                      count + "\r\nContent-Length: 0\r\n\r\n")
                .status;
        }

        fleet_site site{false};
        fake_server& server{this->site.add_server(
            "i-1", "llm",
            [](fake_server::request const& got)
            {
                return script{{stream_head(got), chunk_of("id: 1\ndata: t\n\n"),
                               chunk_of("")}};
            })};
    };

    // Guards against a customer that gets more than it paid for: the counts
    // are not read, and the request is not charged.
    void a_count_with_white_space_is_charged()
    {
        for (auto const* const count : {"700 , 20", " 700,20 ", "700\t,\t20"})
        {
            scenario here;
            CPPUNIT_ASSERT_EQUAL(200, here.send(count));
            auto const next = here.send(count);
            CPPUNIT_ASSERT_MESSAGE(count, next == 402 || next == 429);
        }
    }

    // The same for counts that cannot be read at all, or overflow in sums.
    void a_count_that_is_no_number_is_rejected()
    {
        scenario here;
        for (auto const* const count :
             {"x", "1", "1,", ",1", "1,2,3", "-1,5", "5,-1", "1.5,1", "+1,1",
              "9223372036854775807,1", "1,99999999999999999999", "0x10,1"})
        {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(count, 400, here.send(count));
        }
        CPPUNIT_ASSERT(here.server.requests.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(token_count_test);
