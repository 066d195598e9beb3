#include "http/raw_client.hpp"
#include "http/server.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <cstdio>
#include <mutex>
#include <string>
#include <vector>

using namespace caperpath;

/// Requests to cpp-httplib whose head leaves open where the body ends.
class message_framing_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(message_framing_test);
    CPPUNIT_TEST(text_within_a_body_is_not_run_as_a_request);
    CPPUNIT_TEST(a_body_that_is_given_up_is_not_run_as_a_request);
    CPPUNIT_TEST(sound_requests_on_one_connection_are_served);
    CPPUNIT_TEST_SUITE_END();

    /// A server that notes the requests that it runs.
    struct scenario
    {
        scenario()
        {
            auto const run = [this](httplib::Request const& given,
                                    httplib::Response& response)
            {
                std::lock_guard const lock{this->mutex};
                this->runs.push_back(given.method + " " + given.target + " " +
                                     given.body);
                response.set_content("ok", "text/plain");
            };
            this->server.Get(".*", run);
            this->server.Post(".*", httplib::Server::Handler{run});
            this->port = this->server.start("127.0.0.1:0");
        }

        std::string send(std::string const& bytes) const
        {
            raw_client const caller{this->port};
            caller.send(bytes);
            return caller.read_all();
        }

        std::mutex mutex;
        std::vector<std::string> runs;
        http::server server{{.max_body_bytes = 100, .keep_alive = {300}}};
        int port{};
    };

    static std::string inner()
    {
        return "GET /inner HTTP/1.1\r\nHost: x\r\n\r\n";
    }

    static std::string request(std::string const& method,
                               std::string const& fields,
                               std::string const& version = "1.1")
    {
        return method + " /outer HTTP/" + version + "\r\nHost: x\r\n" + fields +
               "\r\n";
    }

    static std::string chunk(std::string const& bytes)
    {
        std::array<char, 16> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
        return size.data() + bytes + "\r\n";
    }

    static std::size_t responses_in(std::string const& bytes)
    {
        std::size_t count = 0;
        for (auto at = bytes.find("HTTP/1.1 "); at != std::string::npos;
             at = bytes.find("HTTP/1.1 ", at + 1))
        {
            count += 1;
        }
        return count;
    }

    void assert_rejected(std::string const& bytes, int status)
    {
        scenario here;
        auto const got = here.send(bytes);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            bytes, "HTTP/1.1 " + std::to_string(status), got.substr(0, 12));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, std::size_t{1}, responses_in(got));
        CPPUNIT_ASSERT_MESSAGE(bytes, got.find("Connection: close") !=
                                          std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(bytes, here.runs.empty());
    }

    // Guards against request smuggling: text in a body is run as a request of
    // its own, and the request around it without its body.
    void text_within_a_body_is_not_run_as_a_request()
    {
        auto const length =
            "Content-Length: " + std::to_string(inner().size()) + "\r\n";
        auto const chunks = chunk(inner()) + chunk("");
        for (std::string const method : {"GET", "POST", "HEAD", "OPTIONS"})
        {
            for (std::string const fields :
                 {"Transfer-Encoding: gzip\r\n",
                  "Transfer-Encoding: identity\r\nContent-Length: 0\r\n",
                  "Transfer-Encoding: chunked, identity\r\n",
                  "Transfer-Encoding:\r\n", "Content-Length: 0, 5\r\n",
                  "Content-Length: 0\r\nContent-Length: 5\r\n",
                  "Content-Length: abc\r\n", "Content-Length: +0\r\n",
                  "Content-Length:\r\n",
                  "Transfer-Encoding : chunked\r\nContent-Length: 0\r\n",
                  "Expect: 100-continue\r\nTransfer-Encoding: gzip\r\n"})
            {
                assert_rejected(request(method, fields) + inner(), 400);
            }
            assert_rejected(request(method, "Transfer-Encoding: chunked\r\n"
                                            "Content-Length: 3\r\n") +
                                chunks + inner(),
                            400);
            assert_rejected(
                request(method, "Transfer-Encoding: chunked\r\n", "1.0") +
                    chunks,
                400);
        }
        for (std::string const method : {"GET", "HEAD", "OPTIONS"})
        {
            assert_rejected(request(method, length) + inner(), 400);
            assert_rejected(request(method, "Transfer-Encoding: chunked\r\n") +
                                chunks,
                            400);
        }
    }

    // Guards against the same for the rest of a body that is too large or has a
    // malformed chunk.
    void a_body_that_is_given_up_is_not_run_as_a_request()
    {
        auto const head = request("POST", "Transfer-Encoding: chunked\r\n");
        assert_rejected(head + chunk(std::string(200, 'x')) + inner(), 400);
        assert_rejected(head + "zz\r\n" + inner(), 400);
    }

    // Guards against the rejection of requests that are framed as usual, and
    // against connections that end after each.
    void sound_requests_on_one_connection_are_served()
    {
        scenario here;
        auto const got = here.send(
            request("POST", "Content-Length: 5\r\n") + "parts" +
            request("POST", "Transfer-Encoding: chunked\r\n") + chunk("parts") +
            chunk("") + request("POST", "TRANSFER-ENCODING: \tCHUNKED \r\n") +
            "5;a=b\r\nparts\r\n0\r\n\r\n" +
            request("GET", "Content-Length: 0\r\n") + request("GET", ""));
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, responses_in(got));
        std::vector<std::string> const expected{
            "POST /outer parts", "POST /outer parts", "POST /outer parts",
            "GET /outer ", "GET /outer "};
        CPPUNIT_ASSERT(here.runs == expected);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(message_framing_test);
