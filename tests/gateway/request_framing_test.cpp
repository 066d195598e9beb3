#include "gateway/fleet_site.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace caperpath;
using namespace caperpath::gateway;

/// Requests whose head leaves open where the body ends.
class request_framing_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_framing_test);
    CPPUNIT_TEST(text_within_a_body_is_not_run_as_a_request);
    CPPUNIT_TEST(a_rejected_request_does_not_run_the_text_in_its_body);
    CPPUNIT_TEST(a_coding_beside_a_length_is_rejected);
    CPPUNIT_TEST(an_http_10_request_with_a_coding_is_rejected);
    CPPUNIT_TEST(a_body_is_not_asked_for_before_its_framing_is_checked);
    CPPUNIT_TEST(an_earlier_request_of_the_connection_is_served);
    CPPUNIT_TEST(sound_chunks_reach_the_server_as_sent);
    CPPUNIT_TEST_SUITE_END();

    using request = fake_server::request;

    struct scenario
    {
        scenario()
        {
            this->site.wait_ready();
        }

        /// Sends `bytes`, waits for the end of the connection and returns all
        /// that the router sent.
        std::string send_all(std::string const& bytes)
        {
            auto const link = this->site.begin(bytes);
            this->site.run_until([&] { return link->end() != peer_end::open; });
            auto const got = link->input().data();
            return {static_cast<char const*>(got.data()), got.size()};
        }

        fleet_site site;
        fake_server& server{this->site.add_server(
            "i-1", "app",
            [](request const& got)
            { return script{{complete_response(got, 200, "ok")}}; })};
    };

    static std::string head(std::string const& framing,
                            std::string const& version = "1.1",
                            std::string const& key = "key")
    {
        return "POST /order/1 HTTP/" + version +
               "\r\nHost: site.example\r\nRequest-Id: outer\r\n"
               "Authorization: Bearer " +
               key + "\r\n" + framing + "\r\n";
    }

    /// A whole request, to be sent within the body of another one.
    static std::string inner()
    {
        return "POST /order/2 HTTP/1.1\r\nHost: site.example\r\n"
               "Request-Id: inner\r\nAuthorization: Bearer key\r\n"
               "Content-Length: 0\r\n\r\n";
    }

    static std::vector<std::string> const& faulty_codings()
    {
        static std::vector<std::string> const all{
            "Transfer-Encoding: identity\r\n",
            "Transfer-Encoding: gzip\r\n",
            "Transfer-Encoding: xchunked\r\n",
            "Transfer-Encoding: chunked, identity\r\n",
            "Transfer-Encoding: gzip, chunked\r\n",
            "Transfer-Encoding:\r\n",
            "Transfer-Encoding: \t \r\n",
            "Transfer-Encoding: \"chunked\"\r\n",
            "Transfer-Encoding: chunked;q=1\r\n",
            "Transfer-Encoding: , chunked\r\n",
            "Transfer-Encoding: gzip,\r\n chunked\r\n",
            "Transfer-Encoding:\r\n identity\r\n",
            "TRANSFER-ENCODING: GZIP\r\n",
            "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
            "Transfer-Encoding:\r\nTransfer-Encoding: chunked\r\n"};
        return all;
    }

    void assert_rejected(scenario& here, std::string const& bytes)
    {
        auto const got = here.send_all(bytes);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, std::string{"HTTP/1.1 400"},
                                     got.substr(0, 12));
        CPPUNIT_ASSERT_MESSAGE(bytes,
                               got.find("HTTP/1.1", 1) == std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(bytes, got.find("Connection: close") !=
                                          std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(bytes, here.server.requests.empty());
    }

    // Guards against request smuggling: a server runs a request that no caller
    // sent, and the request around it without its body.
    void text_within_a_body_is_not_run_as_a_request()
    {
        scenario here;
        for (auto const& coding : faulty_codings())
        {
            this->assert_rejected(here, head(coding) + inner());
        }
    }

    // Guards against the same behind a request that is rejected for its key.
    void a_rejected_request_does_not_run_the_text_in_its_body()
    {
        scenario here;
        for (auto const& coding : faulty_codings())
        {
            this->assert_rejected(here, head(coding, "1.1", "none") + inner());
        }
    }

    // Guards against a body whose length the coding overrides for a server.
    void a_coding_beside_a_length_is_rejected()
    {
        scenario here;
        for (auto const& coding : faulty_codings())
        {
            this->assert_rejected(here, head(coding + "Content-Length: 5\r\n") +
                                            "parts");
            this->assert_rejected(here, head("Content-Length: 5\r\n" + coding) +
                                            "parts");
        }
    }

    // Guards against a request that runs without its body.
    void an_http_10_request_with_a_coding_is_rejected()
    {
        scenario here;
        for (auto const* const coding : {"identity", "gzip", "chunked"})
        {
            this->assert_rejected(
                here, head("Transfer-Encoding: " + std::string{coding} + "\r\n",
                           "1.0") +
                          "5\r\nparts\r\n0\r\n\r\n");
        }
    }

    // Guards against a caller that is told to send a body that is then taken
    // for the next request.
    void a_body_is_not_asked_for_before_its_framing_is_checked()
    {
        scenario here;
        this->assert_rejected(here, head("Expect: 100-continue\r\n"
                                         "Transfer-Encoding: gzip\r\n"));
    }

    // Guards against a rejection that discards the response before it.
    void an_earlier_request_of_the_connection_is_served()
    {
        scenario here;
        auto const got =
            here.send_all(head("Content-Length: 5\r\n") + "parts" +
                          head("Transfer-Encoding: gzip\r\n") + inner());
        auto const second = got.find("HTTP/1.1", 1);
        CPPUNIT_ASSERT_EQUAL(std::string{"HTTP/1.1 200"}, got.substr(0, 12));
        CPPUNIT_ASSERT_EQUAL(std::string{"HTTP/1.1 400"},
                             got.substr(second, 12));
        CPPUNIT_ASSERT(got.find("HTTP/1.1", second + 1) == std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, here.server.requests.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"parts"},
                             here.server.requests.front().body());
    }

    // Guards against the rejection of requests in chunks that are framed as
    // the protocol allows.
    void sound_chunks_reach_the_server_as_sent()
    {
        scenario here;
        std::vector<std::string> const fields{
            "Transfer-Encoding: chunked\r\n",
            "transfer-encoding: Chunked\r\n",
            "TRANSFER-ENCODING: CHUNKED\r\n",
            "Transfer-Encoding:chunked\r\n",
            "Transfer-Encoding: \t chunked \t\r\n",
            "Transfer-Encoding:\r\n chunked\r\n"};
        for (auto const& field : fields)
        {
            for (auto const* const chunks :
                 {"5\r\nparts\r\n0\r\n\r\n",
                  "2;a=b\r\npa\r\n3;c=\"d\"\r\nrts\r\n0;e\r\n\r\n"})
            {
                auto const got = here.site.send(head(field) + chunks);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(field, 200, got.status);
                CPPUNIT_ASSERT_EQUAL(std::string{"parts"},
                                     here.server.requests.back().body());
            }
        }
        CPPUNIT_ASSERT_EQUAL(2 * fields.size(), here.server.requests.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_framing_test);
