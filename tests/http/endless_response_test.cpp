#include "http/exchange.hpp"
#include "http/raw_server.hpp"
#include "http/server.hpp"
#include "http/server_client.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <initializer_list>
#include <memory>
#include <numeric>
#include <string>
#include <thread>
#include <vector>

using namespace caperpath;

/// Servers that send more than a response may hold. The bytes end, so that a
/// client without limits takes them for a response.
class endless_response_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(endless_response_test);
    CPPUNIT_TEST(a_head_has_a_limit);
    CPPUNIT_TEST(a_line_of_a_body_has_a_limit);
    CPPUNIT_TEST(a_body_of_an_exchange_has_none);
    CPPUNIT_TEST(responses_that_are_not_read_share_the_memory);
    CPPUNIT_TEST(a_status_check_has_a_limit);
    CPPUNIT_TEST(a_status_check_ends_in_time);
    CPPUNIT_TEST_SUITE_END();

    using kind = http::exchange_event::kind;

    static kind last_event(std::string const& bytes)
    {
        raw_server const server{bytes};
        http::worker_pool workers{1};
        http::connection_pool connections{duration{1'000}};
        auto const open = http::exchange::start(
            workers, connections, server.address(),
            {"POST", "/run", {}, "x", "text/plain", true});
        auto last = kind::head;
        while (auto const event = open->wait(duration{5'000}))
        {
            last = event->type;
            if (last == kind::end || last == kind::failed)
            {
                break;
            }
        }
        open->cancel();
        workers.shutdown();
        return last;
    }

    static std::string repeated(std::string const& part, std::size_t bytes)
    {
        std::string all;
        while (all.size() < bytes)
        {
            all += part;
        }
        return all;
    }

    static std::string joined(std::initializer_list<std::string> parts)
    {
        return std::accumulate(parts.begin(), parts.end(), std::string{});
    }

    static constexpr std::size_t too_many = 256 * 1024;

    // Guards against a process that runs out of memory by one response.
    void a_head_has_a_limit()
    {
        std::string const end = "Content-Length: 4\r\n\r\ndone";
        std::string const line = "HTTP/1.1 200 OK\r\n";
        for (auto const& bytes :
             {joined(
                  {line, repeated("X-Field: some value\r\n", too_many), end}),
              joined({line, "X-Field: ", repeated("value", too_many), "\r\n",
                      end}),
              joined({"HTTP/1.1 200 ", repeated("OK", too_many), "\r\n", end}),
              joined({repeated("HTTP/1.1 100 Continue\r\n\r\n", too_many), line,
                      end})})
        {
            CPPUNIT_ASSERT_MESSAGE(bytes.substr(0, 40),
                                   last_event(bytes) == kind::failed);
        }
        CPPUNIT_ASSERT(last_event("HTTP/1.1 100 Continue\r\n\r\n" + line +
                                  repeated("X-Field: some value\r\n", 4'096) +
                                  end) == kind::end);
    }

    // The same with the size of a chunk.
    void a_line_of_a_body_has_a_limit()
    {
        std::string const head =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        auto const extension = repeated(";name=value", too_many);
        CPPUNIT_ASSERT(last_event(head + "4" + extension +
                                  "\r\ndone\r\n0\r\n\r\n") == kind::failed);
        CPPUNIT_ASSERT(last_event(head + "4;name=value\r\ndone\r\n0\r\n\r\n") ==
                       kind::end);
    }

    // Guards against limits that cut sound responses: their parts are passed
    // on.
    void a_body_of_an_exchange_has_none()
    {
        CPPUNIT_ASSERT(last_event("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                                  "chunked\r\n\r\n" +
                                  repeated("1\r\nx\r\n", too_many) +
                                  "0\r\n\r\n") == kind::end);
        CPPUNIT_ASSERT(
            last_event("HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" +
                       std::string(400'000, 'x')) == kind::end);
    }

    /// A failed test must not wait for exchanges that nobody reads.
    struct cancelled_at_end
    {
        std::vector<std::shared_ptr<http::exchange>> open;

        ~cancelled_at_end()
        {
            for (auto const& one : this->open)
            {
                one->cancel();
            }
        }
    };

    // Guards against a process that runs out of memory by many responses.
    void responses_that_are_not_read_share_the_memory()
    {
        constexpr std::size_t count = 100;
        constexpr std::size_t bytes = 1024 * 1024;
        raw_server const server{
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bytes) +
            "\r\n\r\n" + std::string(bytes, 'x')};
        http::connection_pool connections{duration{1'000}};
        http::worker_pool workers{count};
        cancelled_at_end all;
        auto& open = all.open;
        for (std::size_t i = 0; i < count; ++i)
        {
            open.push_back(
                http::exchange::start(workers, connections, server.address(),
                                      {"GET", "/run", {}, "", "", true}));
        }
        auto const now = clock::monotonic();
        auto const until = now.now() + duration{20'000};
        while (connections.held() < 60 * bytes && now.now() < until)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds{20});
        }
        CPPUNIT_ASSERT(connections.held() >= 60 * bytes);
        std::this_thread::sleep_for(std::chrono::milliseconds{500});
        CPPUNIT_ASSERT(connections.held() < 68 * bytes);
        // All end once they are read.
        for (auto const& one : open)
        {
            auto last = kind::head;
            while (last != kind::end)
            {
                auto const event = one->wait(duration{5'000});
                CPPUNIT_ASSERT(event && event->type != kind::failed);
                last = event->type;
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, connections.held().load());
        workers.shutdown();
    }

    static httplib::Result check(raw_server const& server)
    {
        constexpr http::response_limits limits{.total_bytes = 64 * 1024,
                                               .time = duration{500}};
        http::server_client client{http::parse_endpoint(server.address()),
                                   limits};
        client.set_read_timeout(std::chrono::milliseconds{500});
        return client.Get("/load");
    }

    // Guards against a status check that keeps all that a server sends.
    void a_status_check_has_a_limit()
    {
        auto const padding = repeated(" ", too_many);
        raw_server const large{"HTTP/1.1 200 OK\r\n\r\n{}" + padding};
        CPPUNIT_ASSERT(!check(large));
        raw_server const sound{
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"};
        auto const response = check(sound);
        CPPUNIT_ASSERT(response);
        CPPUNIT_ASSERT_EQUAL(std::string{"{}"}, response->body);
    }

    // Guards against a server that blocks the check of others: it sends byte
    // by byte, each within the timeout of a read.
    void a_status_check_ends_in_time()
    {
        std::vector<std::string> pieces(200, "x");
        pieces.front() = "HTTP/1.1 200 OK\r\n\r\n";
        raw_server const slow{pieces, raw_server::ending::close};
        auto const now = clock::monotonic();
        auto const began = now.now();
        CPPUNIT_ASSERT(!check(slow));
        CPPUNIT_ASSERT(now.now() - began < duration{2'000});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endless_response_test);
