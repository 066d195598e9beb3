#include "gateway/fleet_site.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace caperpath;
using namespace caperpath::gateway;

/// Fields behind the last chunk of a body.
class trailer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(trailer_test);
    CPPUNIT_TEST(fields_behind_a_request_are_not_taken_for_its_head);
    CPPUNIT_TEST(fields_behind_a_response_are_not_taken_for_its_head);
    CPPUNIT_TEST(a_response_is_not_unsaid_by_the_fields_behind_it);
    CPPUNIT_TEST_SUITE_END();

    using request = fake_server::request;

    // Guards against a request that runs for another customer, or reaches its
    // server with an id or a size that is not in its head.
    void fields_behind_a_request_are_not_taken_for_its_head()
    {
        fleet_site site;
        auto& server = site.add_server(
            "i-1", "app",
            [](request const& got)
            { return script{{complete_response(got, 200, "done")}}; });
        site.wait_ready();
        std::string const head =
            "POST /order/1 HTTP/1.1\r\nHost: site.example\r\n"
            "Request-Id: r1\r\nTransfer-Encoding: chunked\r\n";
        std::string const trailer =
            "5\r\nparts\r\n0\r\nAuthorization: Bearer key\r\nRequest-Id: r2\r\n"
            "Model-Name: other\r\nX-More: 1\r\n\r\n";
        CPPUNIT_ASSERT_EQUAL(401, site.send(head + "\r\n" + trailer).status);
        CPPUNIT_ASSERT(server.requests.empty());
        auto const got =
            site.send(head + "Authorization: Bearer key\r\n\r\n" + trailer);
        CPPUNIT_ASSERT_EQUAL(200, got.status);
        auto const& sent = server.requests.at(0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.count("Request-Id"));
        CPPUNIT_ASSERT(sent["Request-Id"] == "r1");
        CPPUNIT_ASSERT(sent.find("Model-Name") == sent.end());
        CPPUNIT_ASSERT(sent.find("X-More") == sent.end());
        CPPUNIT_ASSERT_EQUAL(std::string{"parts"}, sent.body());
    }

    static script with_trailer(request const& got, std::string const& fields)
    {
        return {{"HTTP/1.1 200 OK\r\nRequest-Id: " +
                 std::string{got["Request-Id"]} +
                 "\r\nUpstream-Signature: s1\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n" +
                 fields + "\r\n"}};
    }

    // Guards against a response whose head says what its server put behind it.
    void fields_behind_a_response_are_not_taken_for_its_head()
    {
        fleet_site site;
        site.add_server("i-1", "app",
                        [](request const& got) {
                            return with_trailer(
                                got, "Upstream-Signature: s2\r\nX-More: 1\r\n");
                        });
        site.wait_ready();
        auto const got =
            site.send(fleet_site::request("POST", "/order/1", "", "x"));
        CPPUNIT_ASSERT_EQUAL(200, got.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, got.body);
        CPPUNIT_ASSERT(got.head.find("s1") != std::string::npos);
        CPPUNIT_ASSERT(got.head.find("s2") == std::string::npos);
        CPPUNIT_ASSERT(got.head.find("X-More") == std::string::npos);
    }

    // Guards against an order that ran and is sent once more because fields
    // behind its response say that it did not run, or name another request.
    void a_response_is_not_unsaid_by_the_fields_behind_it()
    {
        for (auto const* const fields :
             {"Not-Executed: 1\r\n", "Request-Id: another\r\n"})
        {
            fleet_site site;
            int runs = 0;
            for (auto const* const id : {"i-1", "i-2"})
            {
                site.add_server(id, "app",
                                [&runs, fields](request const& got)
                                {
                                    runs += 1;
                                    return with_trailer(got, fields);
                                });
            }
            site.wait_ready();
            auto const got =
                site.send(fleet_site::request("POST", "/order/1", "", "x"));
            CPPUNIT_ASSERT_EQUAL(200, got.status);
            CPPUNIT_ASSERT_EQUAL(1, runs);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(trailer_test);
