#include "http/exchange.hpp"
#include "http/raw_server.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace caperpath;

/// Responses to cpp-httplib whose head leaves open where they end.
class exchange_framing_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(exchange_framing_test);
    CPPUNIT_TEST(a_response_with_another_coding_fails);
    CPPUNIT_TEST(an_interim_response_is_not_taken_for_the_final_one);
    CPPUNIT_TEST_SUITE_END();

    /// The last event of an exchange with a server that sends `bytes`.
    static http::exchange_event last_event(std::string const& bytes)
    {
        raw_server const server{bytes};
        http::worker_pool workers{1};
        http::connection_pool connections{duration{1'000}};
        auto const open = http::exchange::start(
            workers, connections, server.address(),
            {"POST", "/run", {}, "x", "text/plain", true});
        http::exchange_event last;
        while (auto const event = open->wait(duration{2'000}))
        {
            last = *event;
            if (event->type == http::exchange_event::kind::end ||
                event->type == http::exchange_event::kind::failed)
            {
                break;
            }
        }
        open->cancel();
        workers.shutdown();
        return last;
    }

    // Guards against a part of a response, or one that is encoded, that is
    // taken for the whole.
    void a_response_with_another_coding_fails()
    {
        for (std::string const fields :
             {"Transfer-Encoding: gzip\r\nContent-Length: 4\r\n",
              "Content-Length: 4\r\nTransfer-Encoding: identity\r\n",
              "Transfer-Encoding: gzip, chunked\r\n",
              "Content-Length: 4\r\nContent-Length: 2\r\n",
              "Content-Length: 4x\r\n"})
        {
            auto const last =
                last_event("HTTP/1.1 200 OK\r\n" + fields + "\r\ndone");
            CPPUNIT_ASSERT_MESSAGE(
                fields, last.type == http::exchange_event::kind::failed);
            CPPUNIT_ASSERT(last.maybe_sent);
        }
        CPPUNIT_ASSERT(
            last_event("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
                .type == http::exchange_event::kind::end);
        CPPUNIT_ASSERT(last_event("HTTP/1.1 200 OK\r\n"
                                  "Transfer-Encoding: Chunked\r\n\r\n"
                                  "4\r\ndone\r\n0\r\n\r\n")
                           .type == http::exchange_event::kind::end);
    }

    // Guards against a final response that is taken for the body of an interim
    // one, and against statuses that HTTP does not define.
    void an_interim_response_is_not_taken_for_the_final_one()
    {
        for (std::string const line :
             {"103 Early Hints", "000 None", "600 Other", "999 Other"})
        {
            auto const last = last_event(
                "HTTP/1.1 " + line +
                "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
            CPPUNIT_ASSERT_MESSAGE(
                line, last.type == http::exchange_event::kind::failed);
        }
        CPPUNIT_ASSERT(
            last_event("HTTP/1.1 529 Full\r\nContent-Length: 4\r\n\r\ndone")
                .type == http::exchange_event::kind::end);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(exchange_framing_test);
