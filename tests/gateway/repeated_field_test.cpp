#include "gateway/fleet_site.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace caperpath;
using namespace caperpath::gateway;

/// Fields that are given twice, of which each recipient may read another one.
class repeated_field_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(repeated_field_test);
    CPPUNIT_TEST(a_request_with_two_values_of_a_single_field_is_rejected);
    CPPUNIT_TEST(all_fields_that_concern_one_connection_are_dropped);
    CPPUNIT_TEST_SUITE_END();

    using request = fake_server::request;

    static script respond_done(request const& got)
    {
        return {{complete_response(got, 200, "done")}};
    }

    // Guards against a server that reads another id, model, size or prompt than
    // the router did, and against tokens that are charged to nobody.
    void a_request_with_two_values_of_a_single_field_is_rejected()
    {
        fleet_site site;
        auto& server = site.add_server("i-1", "app", respond_done);
        site.wait_ready();
        std::vector<std::string> const fields{
            "Request-Id: a\r\nRequest-Id: b\r\n",
            "Request-Id: a\r\nREQUEST-ID: a\r\n",
            "Request-Id: a\r\nHost: other.example\r\n",
            "Request-Id: a\r\nDeadline-Ms: 500\r\nDeadline-Ms: 900\r\n",
            "Request-Id: a\r\nAuthorization: Bearer second\r\n",
            "Request-Id: a\r\nModel-Name: m\r\nModel-Name: n\r\n",
            "Request-Id: a\r\nToken-Count: 1,1\r\nToken-Count: 900,900\r\n",
            "Request-Id: a\r\nPrefix-Hash: 1:1\r\nPrefix-Hash: 2:1\r\n",
            "Request-Id: a\r\nLast-Event-Id: 1\r\nLast-Event-Id: 2\r\n",
            "Request-Id: a\r\nResumes: b\r\nResumes: c\r\n"};
        for (auto const& each : fields)
        {
            auto const got =
                site.send("POST /order/1 HTTP/1.1\r\nHost: site.example\r\n"
                          "Authorization: Bearer key\r\n" +
                          each + "Content-Length: 5\r\n\r\nparts");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each, 400, got.status);
        }
        CPPUNIT_ASSERT(server.requests.empty());
    }

    // Guards against a field that a caller or a server meant for its own
    // connection only.
    void all_fields_that_concern_one_connection_are_dropped()
    {
        fleet_site site;
        auto& server = site.add_server(
            "i-1", "app",
            [](request const& got)
            {
                return script{{complete_response(
                    got, 200, "done",
                    "Connection: keep-alive\r\nConnection: X-Hop, X-Last\r\n"
                    "X-Hop: 1\r\nX-Last: 1\r\nX-End: 1\r\n")}};
            });
        site.wait_ready();
        auto const got = site.send(fleet_site::request(
            "POST", "/order/1",
            "Connection: keep-alive\r\nConnection: X-Hop, X-Last\r\n"
            "X-Hop: 1\r\nX-Last: 1\r\nX-End: 1\r\n",
            "parts"));
        CPPUNIT_ASSERT_EQUAL(200, got.status);
        auto const& sent = server.requests.at(0);
        for (auto const* const name : {"X-Hop", "X-Last", "Connection"})
        {
            CPPUNIT_ASSERT(sent.find(name) == sent.end());
            CPPUNIT_ASSERT(got.head.find(name) == std::string::npos);
        }
        CPPUNIT_ASSERT(sent.find("X-End") != sent.end());
        CPPUNIT_ASSERT(got.head.find("X-End") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(repeated_field_test);
