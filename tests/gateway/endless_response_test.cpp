#include "gateway/fleet_site.hpp"
#include "gateway/standalone_client.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

using namespace caperpath;
using namespace caperpath::gateway;

/// Servers in trouble that send bytes without end until the router closes the
/// connection.
class endless_response_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(endless_response_test);
    CPPUNIT_TEST(a_head_without_end);
    CPPUNIT_TEST(a_status_line_without_end);
    CPPUNIT_TEST(interim_responses_without_end);
    CPPUNIT_TEST(responses_to_other_requests_without_end);
    CPPUNIT_TEST(a_body_without_end);
    CPPUNIT_TEST(chunks_without_end);
    CPPUNIT_TEST(a_chunk_size_without_end);
    CPPUNIT_TEST(a_chunk_extension_without_end);
    CPPUNIT_TEST(a_trailer_without_end);
    CPPUNIT_TEST(an_event_without_end);
    CPPUNIT_TEST(a_server_that_does_so_is_set_aside);
    CPPUNIT_TEST(bodies_without_end_share_the_memory);
    CPPUNIT_TEST(chunks_of_one_byte_are_bounded);
    CPPUNIT_TEST(incomplete_events_share_the_memory);
    CPPUNIT_TEST(responses_that_are_not_taken_share_the_memory);
    CPPUNIT_TEST_SUITE_END();

    /// More than the largest response and what the kernel buffers.
    static constexpr std::size_t most_bytes = 24U * 1024 * 1024;
    static constexpr std::size_t piece_size = 65'536;
    static constexpr char ok[] = "HTTP/1.1 200 OK\r\n"
                                 "Upstream-Signature: s1\r\n";

    static std::string repeated(std::string const& part)
    {
        std::string all;
        while (all.size() < piece_size)
        {
            all += part;
        }
        return all;
    }

    static script endless(std::string const& begin, std::string const& part)
    {
        script reply{{begin}};
        reply.endless = repeated(part);
        return reply;
    }

    /// The caller gets an honest end before its deadline, and the server's
    /// connection is closed before it has sent much.
    static void assert_ended(std::string const& path, script const& reply,
                             bool may_expire = false)
    {
        fleet_site site;
        site.route_timeout = duration{20'000};
        site.put_configuration(2);
        auto& server = site.add_server("i-1", path == "/read/1" ? "app" : "llm",
                                       [reply](fake_server::request const&)
                                       { return reply; });
        site.wait_ready();
        auto const request = path == "/read/1"
                                 ? fleet_site::request("GET", path)
                                 : fleet_site::prompt(path, 10, 10);
        auto const got = site.send(request);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(got.status),
                               got.status == 502 ||
                                   (may_expire && got.status == 504) ||
                                   (got.status == 200 && !got.complete));
        CPPUNIT_ASSERT(
            site.run_until([&] { return server.closed_by_router > 0; }));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(server.bytes_written),
                               server.bytes_written <= most_bytes);
    }

    // Guards against a head that is read until the deadline.
    void a_head_without_end()
    {
        assert_ended("/read/1", endless(ok, "X-More: 1\r\n"));
    }

    void a_status_line_without_end()
    {
        assert_ended("/read/1", endless("HTTP/1.1 200 O", "K"));
    }

    // Guards against a loop that skips responses as long as they come.
    void interim_responses_without_end()
    {
        assert_ended("/read/1", endless("", "HTTP/1.1 100 Continue\r\n\r\n"));
    }

    void responses_to_other_requests_without_end()
    {
        assert_ended("/read/1",
                     endless("", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
                                 "Content-Length: 1\r\n\r\nx"));
    }

    // Guards against a body that fills the memory.
    void a_body_without_end()
    {
        assert_ended("/read/1", endless(std::string{ok} + "\r\n", "x"));
    }

    // On a slow machine the deadline may come before so many chunks are parsed.
    // A slow machine may meet the deadline before it has parsed so many chunks.
    void chunks_without_end()
    {
        assert_ended(
            "/read/1",
            endless(std::string{ok} + "Transfer-Encoding: chunked\r\n\r\n",
                    "8\r\nxxxxxxxx\r\n"),
            true);
    }

    // Guards against a parser that waits for the end of a line while the
    // connection's buffer is full.
    void a_chunk_size_without_end()
    {
        assert_ended(
            "/read/1",
            endless(std::string{ok} + "Transfer-Encoding: chunked\r\n\r\n",
                    "0"));
    }

    void a_chunk_extension_without_end()
    {
        assert_ended(
            "/read/1",
            endless(std::string{ok} + "Transfer-Encoding: chunked\r\n\r\n1;a=",
                    "b"));
    }

    void a_trailer_without_end()
    {
        assert_ended(
            "/read/1",
            endless(std::string{ok} + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                    "X-More: 1\r\n"));
    }

    // Guards against an incomplete event that fills the memory.
    void an_event_without_end()
    {
        assert_ended("/chat/1",
                     endless(std::string{ok} +
                                 "Content-Type: text/event-stream\r\n\r\ndata:",
                             "x"));
    }

    // Guards against further requests to such a server while another one works.
    void a_server_that_does_so_is_set_aside()
    {
        fleet_site site;
        std::size_t spoiled = 0;
        site.add_server("i-1", "app",
                        [&spoiled](fake_server::request const&)
                        {
                            spoiled += 1;
                            return endless(ok, "X-More: 1\r\n");
                        });
        site.wait_ready();
        site.send(fleet_site::request("GET", "/read/1"));
        site.add_server("i-2", "app",
                        [](fake_server::request const& got) {
                            return script{{complete_response(got, 200, "ok")}};
                        });
        CPPUNIT_ASSERT(site.run_until(
            [&] {
                return site.send(fleet_site::request("GET", "/read/1"))
                           .status == 200;
            }));
        auto const before = spoiled;
        for (int i = 0; i < 10; ++i)
        {
            site.send(fleet_site::request("GET", "/read/1"));
        }
        CPPUNIT_ASSERT_EQUAL(before, spoiled);
    }

    // Guards against many such bodies at once, each below the bound of one.
    void bodies_without_end_share_the_memory()
    {
        fleet_site site;
        site.route_timeout = duration{20'000};
        site.put_configuration(2);
        auto& server =
            site.add_server("i-1", "app",
                            [](fake_server::request const&)
                            { return endless(std::string{ok} + "\r\n", "x"); });
        site.wait_ready();
        constexpr int requests = 12;
        std::vector<connection_ptr> callers;
        callers.reserve(requests);
        for (int i = 0; i < requests; ++i)
        {
            callers.push_back(
                site.begin(fleet_site::request("GET", "/read/1")));
        }
        CPPUNIT_ASSERT(site.run_until(
            [&] { return server.closed_by_router_now() >= requests; }));
        constexpr std::size_t most_of_all = 96U * 1024 * 1024;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(server.bytes_written),
                               server.bytes_written <= most_of_all);
    }

    // Guards against processor time that a small body uses up: each chunk costs
    // about as much as a large one.
    void chunks_of_one_byte_are_bounded()
    {
        // The bound on framing, and what the kernel buffers.
        constexpr std::size_t most = 10U * 1024 * 1024;
        fleet_site site;
        site.route_timeout = duration{20'000};
        site.put_configuration(2);
        auto& server = site.add_server(
            "i-1", "app",
            [](fake_server::request const&)
            {
                return endless(std::string{ok} +
                                   "Transfer-Encoding: chunked\r\n\r\n",
                               "1\r\nx\r\n");
            });
        site.wait_ready();
        CPPUNIT_ASSERT_EQUAL(
            502,
            site.send(with_long_deadline(fleet_site::request("GET", "/read/1")))
                .status);
        CPPUNIT_ASSERT(
            site.run_until([&] { return server.closed_by_router > 0; }));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(server.bytes_written),
                               server.bytes_written <= most);
    }

    static std::string with_long_deadline(std::string bytes)
    {
        std::string const usual{"Deadline-Ms: 1500"};
        return bytes.replace(bytes.find(usual), usual.size(),
                             "Deadline-Ms: 20000");
    }

    // Guards against events that are each below the bound of one, and together
    // fill the memory.
    void incomplete_events_share_the_memory()
    {
        constexpr int requests = 60;
        constexpr int most_open = 40;
        constexpr std::size_t event_size = 1'000'000;
        fleet_site site;
        site.route_timeout = duration{20'000};
        site.put_configuration(2, 100'000'000);
        auto& server = site.add_server(
            "i-1", "llm",
            [](fake_server::request const&)
            {
                return script{{std::string{ok} +
                                   "Content-Type: text/event-stream\r\n\r\n",
                               "data: " + std::string(event_size, 'x')},
                              script::ending::silent};
            });
        site.wait_ready();
        std::vector<connection_ptr> callers;
        callers.reserve(requests);
        for (int i = 0; i < requests; ++i)
        {
            callers.push_back(site.begin(
                with_long_deadline(fleet_site::prompt("/chat/1", 10, 10))));
        }
        CPPUNIT_ASSERT(site.run_until(
            [&]
            {
                auto const ended =
                    std::count_if(callers.begin(), callers.end(),
                                  [](connection_ptr const& each) {
                                      return each->has_input() ||
                                             each->end() != peer_end::open;
                                  });
                return ended >= requests - most_open;
            }));
        CPPUNIT_ASSERT(server.requests.size() > most_open);
        for (auto const& each : callers)
        {
            each->close(true);
        }
        end_requests(site, server);
    }

    /// Open requests hold references to the router, which the site destroys
    /// first.
    static void end_requests(fleet_site& site, fake_server const& server)
    {
        CPPUNIT_ASSERT(site.run_until(
            [&]
            {
                return server.closed_by_router_now() >=
                       static_cast<int>(server.requests.size());
            }));
        site.run_for(duration{100});
    }

    // Guards against responses that stay here because their callers do not read
    // them.
    void responses_that_are_not_taken_share_the_memory()
    {
        constexpr int requests = 10;
        constexpr int small_buffer = 4'096;
        constexpr std::size_t body_size = 12'000'000;
        fleet_site site;
        site.route_timeout = duration{20'000};
        site.put_configuration(2);
        auto& server = site.add_server(
            "i-1", "app",
            [](fake_server::request const& got) {
                return script{
                    {complete_response(got, 200, std::string(body_size, 'x'))}};
            });
        site.wait_ready();
        std::vector<std::unique_ptr<standalone_client>> callers;
        auto served = 0;
        for (int i = 0; i < requests; ++i)
        {
            callers.push_back(std::make_unique<standalone_client>(
                site.callers_port(), small_buffer));
            callers.back()->send(with_long_deadline(
                fleet_site::request("POST", "/order/1", "", "x")));
            auto status = 0;
            CPPUNIT_ASSERT(site.run_until(
                [&]
                {
                    status = callers.back()->received(1).status;
                    return status != 0;
                }));
            served += status == 200 ? 1 : 0;
        }
        CPPUNIT_ASSERT(!server.requests.empty());
        CPPUNIT_ASSERT_MESSAGE(std::to_string(served),
                               served >= 2 && served < requests);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endless_response_test);
