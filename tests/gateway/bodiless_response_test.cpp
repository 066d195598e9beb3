#include "gateway/fleet_site.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace caperpath;
using namespace caperpath::gateway;

/// Responses that have no body whatever their fields say.
class bodiless_response_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(bodiless_response_test);
    CPPUNIT_TEST(a_head_request_gets_its_response_at_once);
    CPPUNIT_TEST(a_head_request_on_a_streaming_route_gets_no_chunks);
    CPPUNIT_TEST(a_head_response_without_a_length_gets_none);
    CPPUNIT_TEST(a_status_without_a_body_ends_at_its_head);
    CPPUNIT_TEST(bytes_behind_such_a_head_belong_to_no_response);
    CPPUNIT_TEST_SUITE_END();

    using request = fake_server::request;

    /// A site whose only server responds with `reply`, and a caller that keeps
    /// its connection.
    struct scenario
    {
        explicit scenario(std::string const& service = "app")
        {
            this->site.add_server(
                "i-1", service,
                [this](request const& got)
                {
                    this->runs += 1;
                    return script{
                        {"HTTP/1.1 " + this->status +
                         "\r\nRequest-Id: " + std::string{got["Request-Id"]} +
                         "\r\nUpstream-Signature: s1\r\n" + this->rest}};
                });
            this->site.wait_ready();
        }

        /// Returns what the caller gets for `bytes` until nothing follows.
        std::string exchange(std::string const& bytes)
        {
            if (!this->caller)
            {
                this->caller = this->site.begin(bytes);
            }
            else
            {
                this->caller->send(bytes);
            }
            this->site.run_until([&] { return this->caller->has_input(); });
            this->site.run_for(duration{30});
            auto& input = this->caller->input();
            auto const data = input.data();
            std::string got{static_cast<char const*>(data.data()), data.size()};
            input.consume(input.size());
            this->caller->resume();
            return got;
        }

        std::string status{"200 OK"};
        std::string rest{"Content-Length: 4\r\n\r\n"};
        int runs{};
        fleet_site site;
        connection_ptr caller; ///< on the loop of `site`
    };

    static std::string head_request(std::string const& path)
    {
        return "HEAD " + path +
               " HTTP/1.1\r\nHost: site.example\r\nRequest-Id: h\r\n"
               "Deadline-Ms: 500\r\nAuthorization: Bearer key\r\n"
               "Token-Count: 10,10\r\n\r\n";
    }

    static bool contains(std::string const& text, std::string const& part)
    {
        return text.find(part) != std::string::npos;
    }

    static std::string content_of(std::string const& message)
    {
        return message.substr(message.find("\r\n\r\n") + 4);
    }

    // Guards against a HEAD request that waits for a body until its deadline
    // although its server has responded.
    void a_head_request_gets_its_response_at_once()
    {
        scenario here;
        for (int i = 0; i < 2; ++i)
        {
            auto const got = here.exchange(head_request("/read/1"));
            CPPUNIT_ASSERT_EQUAL(std::string{"HTTP/1.1 200"},
                                 got.substr(0, 12));
            CPPUNIT_ASSERT(contains(got, "Content-Length: 4\r\n"));
            CPPUNIT_ASSERT(contains(got, "Upstream-Signature: s1\r\n"));
            CPPUNIT_ASSERT_EQUAL(std::string{}, content_of(got));
        }
        CPPUNIT_ASSERT_EQUAL(2, here.runs);
    }

    // Guards against chunks where the next response is due.
    void a_head_request_on_a_streaming_route_gets_no_chunks()
    {
        scenario here{"llm"};
        here.rest = "Content-Type: text/event-stream\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n";
        auto const got = here.exchange(head_request("/chat/1"));
        CPPUNIT_ASSERT_EQUAL(std::string{"HTTP/1.1 200"}, got.substr(0, 12));
        CPPUNIT_ASSERT_EQUAL(std::string{}, content_of(got));
    }

    // Guards against a length of 0 for a body that the server did not measure.
    void a_head_response_without_a_length_gets_none()
    {
        scenario here;
        here.rest = "\r\n";
        auto const got = here.exchange(head_request("/read/1"));
        CPPUNIT_ASSERT_EQUAL(std::string{"HTTP/1.1 200"}, got.substr(0, 12));
        CPPUNIT_ASSERT(!contains(got, "Content-Length"));
        CPPUNIT_ASSERT_EQUAL(std::string{}, content_of(got));
    }

    // Guards against a length that the protocol forbids with 204, and one of 0
    // where the server named that of the unchanged body.
    void a_status_without_a_body_ends_at_its_head()
    {
        scenario here;
        here.status = "204 No Content";
        here.rest = "\r\n";
        auto const empty =
            here.exchange(fleet_site::request("POST", "/order/1", "", "x"));
        CPPUNIT_ASSERT_EQUAL(std::string{"HTTP/1.1 204"}, empty.substr(0, 12));
        CPPUNIT_ASSERT(!contains(empty, "Content-Length"));
        here.status = "304 Not Modified";
        here.rest = "Content-Length: 17\r\n\r\n";
        auto const same = here.exchange(fleet_site::request("GET", "/read/1"));
        CPPUNIT_ASSERT_EQUAL(std::string{"HTTP/1.1 304"}, same.substr(0, 12));
        CPPUNIT_ASSERT(contains(same, "Content-Length: 17\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::string{}, content_of(same));
    }

    // A server sends a body with a response that has none. Guards against a
    // next request that takes it for its response.
    void bytes_behind_such_a_head_belong_to_no_response()
    {
        scenario here;
        auto const forged = std::string{"HTTP/1.1 200 OK\r\n"
                                        "Upstream-Signature: s2\r\n"
                                        "Content-Length: 0\r\n\r\n"};
        here.status = "204 No Content";
        here.rest = "Content-Length: " + std::to_string(forged.size()) +
                    "\r\n\r\n" + forged;
        auto const request = fleet_site::request("POST", "/order/1", "", "x");
        CPPUNIT_ASSERT(contains(here.exchange(request), "HTTP/1.1 204"));
        here.status = "200 OK";
        here.rest = "Content-Length: 4\r\n\r\ndone";
        auto const got =
            here.exchange(fleet_site::request("POST", "/order/1", "", "x"));
        CPPUNIT_ASSERT(contains(got, "Upstream-Signature: s1"));
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, content_of(got));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(bodiless_response_test);
