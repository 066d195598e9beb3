#include "gateway/fleet_site.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace caperpath;
using namespace caperpath::gateway;

/// Callers that speak HTTP/1.0, which has no chunks.
class http_10_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_10_test);
    CPPUNIT_TEST(a_stream_reaches_the_caller_without_chunks);
    CPPUNIT_TEST(a_stream_that_breaks_off_does_not_look_complete);
    CPPUNIT_TEST_SUITE_END();

    using request = fake_server::request;

    static std::string event(int id)
    {
        return "id: " + std::to_string(id) + "\ndata: t\n\n";
    }

    static std::string prompt()
    {
        return "POST /chat/1 HTTP/1.0\r\nHost: site.example\r\n"
               "Request-Id: r1\r\nDeadline-Ms: 1500\r\n"
               "Authorization: Bearer key\r\nToken-Count: 10,10\r\n"
               "Content-Length: 0\r\n\r\n";
    }

    /// What the caller of a stream gets from a server that responds with
    /// `pieces`, and how its connection ends.
    struct outcome
    {
        outcome(std::vector<std::string> const& pieces, script::ending end)
        {
            fleet_site site;
            site.add_server("i-1", "llm",
                            [&](request const& got)
                            {
                                script reply{{stream_head(got)}, end};
                                reply.pieces.insert(reply.pieces.end(),
                                                    pieces.begin(),
                                                    pieces.end());
                                return reply;
                            });
            site.wait_ready();
            auto const caller = site.begin(prompt());
            site.run_until([&] { return caller->end() != peer_end::open; });
            auto const data = caller->input().data();
            this->text = {static_cast<char const*>(data.data()), data.size()};
            this->end = caller->end();
        }

        std::string text;
        peer_end end{};
    };

    // Guards against chunk sizes within the events of the caller.
    void a_stream_reaches_the_caller_without_chunks()
    {
        outcome const got{
            {chunk_of(event(1)), chunk_of(event(2)), chunk_of("")},
            script::ending::keep};
        CPPUNIT_ASSERT(got.end == peer_end::finished);
        CPPUNIT_ASSERT_EQUAL(std::string{"HTTP/1.1 200"},
                             got.text.substr(0, 12));
        CPPUNIT_ASSERT(got.text.find("Transfer-Encoding") == std::string::npos);
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2),
                             got.text.substr(got.text.find("\r\n\r\n") + 4));
    }

    // Without chunks only a reset tells that a part is missing. Guards against
    // the orderly end of a connection that makes it look complete.
    void a_stream_that_breaks_off_does_not_look_complete()
    {
        outcome const got{{chunk_of(event(1))}, script::ending::reset};
        CPPUNIT_ASSERT(got.end == peer_end::broken);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_10_test);
