#include "gateway/fleet_site.hpp"

#include <caperpath/base/http_status.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace caperpath;
using namespace caperpath::gateway;

/// Status codes of servers, also those without a registered name.
class response_status_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(response_status_test);
    CPPUNIT_TEST(each_status_reaches_the_caller_as_sent);
    CPPUNIT_TEST(a_status_without_a_name_starts_a_stream_response);
    CPPUNIT_TEST(a_number_outside_the_protocol_is_an_error);
    CPPUNIT_TEST(a_failure_without_a_name_is_retried_like_others);
    CPPUNIT_TEST_SUITE_END();

    using request = fake_server::request;

    /// The status line as the server sends it.
    static std::string with_status(request const& to, std::string const& line)
    {
        return "HTTP/1.1 " + line +
               "\r\nRequest-Id: " + std::string{to["Request-Id"]} +
               "\r\nUpstream-Signature: s1\r\nContent-Length: 4\r\n\r\nbody";
    }

    /// A site whose only server responds with the status line in `line`.
    struct scenario
    {
        explicit scenario(std::string const& service = "app")
        {
            this->site.add_server("i-1", service,
                                  [this](request const& got)
                                  {
                                      this->runs += 1;
                                      return script{
                                          {with_status(got, this->line)}};
                                  });
            this->site.wait_ready();
        }

        received_response order()
        {
            return this->site.send(
                fleet_site::request("POST", "/order/1", "", "x"));
        }

        std::string line;
        int runs{};
        fleet_site site;
    };

    static bool is_signed(received_response const& got)
    {
        return got.head.find("Upstream-Signature: s1") != std::string::npos;
    }

    // Guards against a failure that bears a server's signature and another
    // status than that server gave.
    void each_status_reaches_the_caller_as_sent()
    {
        constexpr int misdirected = 421;
        scenario here;
        for (int status = http_ok; status < 600; ++status)
        {
            auto const has_body = status != 204 && status != 304;
            if (status == misdirected || !has_body)
            {
                continue;
            }
            here.line = std::to_string(status) + " Some Reason";
            auto const got = here.order();
            CPPUNIT_ASSERT_EQUAL(status, got.status);
            CPPUNIT_ASSERT(is_signed(got));
            CPPUNIT_ASSERT_EQUAL(std::string{"body"}, got.body);
        }
    }

    // The same on a route whose successes are streams.
    void a_status_without_a_name_starts_a_stream_response()
    {
        scenario here{"llm"};
        for (auto const status : {299, 425, 529, 599})
        {
            here.line = std::to_string(status) + " ";
            auto const got =
                here.site.send(fleet_site::prompt("/chat/1", 10, 10));
            CPPUNIT_ASSERT_EQUAL(status, got.status);
            CPPUNIT_ASSERT(is_signed(got));
        }
    }

    // Guards against a status line that callers read in different ways: such
    // a response is not valid and counts as broken off.
    void a_number_outside_the_protocol_is_an_error()
    {
        for (auto const* const number :
             {"000", "007", "099", "600", "700", "999"})
        {
            scenario here;
            here.line = std::string{number} + " Some Reason";
            auto const got = here.order();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(number, http_bad_gateway, got.status);
            CPPUNIT_ASSERT(!is_signed(got));
            CPPUNIT_ASSERT(got.body.empty());
            CPPUNIT_ASSERT_EQUAL(1, here.runs);
        }
    }

    // Guards against an idempotent request that fails because its server's
    // status is not known by name.
    void a_failure_without_a_name_is_retried_like_others()
    {
        for (auto const* const line : {"529 ", "599 Reason", "700 Reason"})
        {
            fleet_site site;
            int runs = 0;
            auto const fails_once = [&runs, line](request const& got)
            {
                runs += 1;
                return runs == 1
                           ? script{{with_status(got, line)},
                                    script::ending::close}
                           : script{{complete_response(got, 200, "done")}};
            };
            site.add_server("i-1", "app", fails_once);
            site.add_server("i-2", "app", fails_once);
            site.wait_ready();
            CPPUNIT_ASSERT_EQUAL(
                200, site.send(fleet_site::request("GET", "/read/1")).status);
            CPPUNIT_ASSERT_EQUAL(2, runs);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(response_status_test);
