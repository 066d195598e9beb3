#include "gateway/fleet_site.hpp"
#include "gateway/run_after.hpp"
#include "platform/protocol_adapter.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <stdexcept>
#include <string>

using namespace caperpath;
using namespace caperpath::gateway;

/// Exceptions in handlers of the event loop and in the coroutines of requests.
class gateway_exception_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(gateway_exception_test);
    CPPUNIT_TEST(a_configuration_that_throws_cuts_no_stream);
    CPPUNIT_TEST(the_next_configuration_comes_into_force);
    CPPUNIT_TEST(a_request_that_throws_gets_a_response);
    CPPUNIT_TEST(a_caller_whose_request_cannot_be_read_is_disconnected);
    CPPUNIT_TEST(a_rejection_that_throws_leaves_no_request_behind);
    CPPUNIT_TEST(a_router_stops_in_order_after_exceptions);
    CPPUNIT_TEST(a_timer_that_throws_runs_again);
    CPPUNIT_TEST_SUITE_END();

    using request = fake_server::request;

    static std::variant<fleet::site_parts, error>
    read_site_or_throw(std::string const& text)
    {
        if (text.find(R"("version":3,)") != std::string::npos)
        {
            throw std::out_of_range{"a member of version 3"};
        }
        return platform::make_protocol_adapter().read_site(text);
    }

    static void prepare_or_throw(http::fields& head,
                                 dispatch_facts const& facts)
    {
        if (head["X-Throw"] == "prepare")
        {
            throw std::length_error{"a head"};
        }
        platform::make_protocol_adapter().prepare_request(head, facts);
    }

    static request_facts read_or_throw(http::fields const& head)
    {
        if (head["X-Throw"] == "read")
        {
            throw std::bad_alloc{};
        }
        return platform::make_protocol_adapter().read_request(head);
    }

    static void reject_or_throw(http::fields& head, std::string const& id,
                                std::optional<duration> retry_after)
    {
        if (id == "reject")
        {
            throw std::bad_alloc{};
        }
        platform::make_protocol_adapter().prepare_rejection(head, id,
                                                            retry_after);
    }

    static protocol_adapter throwing_adapter()
    {
        auto adapter = platform::make_protocol_adapter();
        adapter.read_site = read_site_or_throw;
        adapter.prepare_request = prepare_or_throw;
        adapter.read_request = read_or_throw;
        adapter.prepare_rejection = reject_or_throw;
        return adapter;
    }

    static script long_stream(request const& got)
    {
        constexpr int events = 60;
        script all{{stream_head(got)}};
        for (int i = 1; i <= events; ++i)
        {
            all.pieces.push_back(
                chunk_of("id: " + std::to_string(i) + "\ndata: t\n\n"));
        }
        all.pieces.push_back(chunk_of(""));
        return all;
    }

    static std::string throwing(std::string const& where)
    {
        return fleet_site::request("GET", "/read/1",
                                   "X-Throw: " + where + "\r\n");
    }

    // Guards against a process that ends with all that is open because a
    // configuration makes a handler throw.
    void a_configuration_that_throws_cuts_no_stream()
    {
        fleet_site site{throwing_adapter()};
        site.route_timeout = duration{5'000};
        site.add_server("i-1", "llm", long_stream);
        site.put_configuration(2);
        site.wait_ready();
        auto const caller = site.begin(fleet_site::prompt("/chat/1", 500, 200));
        CPPUNIT_ASSERT(site.run_until([&] { return caller->has_input(); }));
        site.put_configuration(3);
        auto const text = [&]
        {
            auto const bytes = caller->input().data();
            return std::string{static_cast<char const*>(bytes.data()),
                               bytes.size()};
        };
        CPPUNIT_ASSERT(site.run_until(
            [&]
            {
                return text().ends_with("\r\n0\r\n\r\n") ||
                       caller->end() != peer_end::open;
            }));
        CPPUNIT_ASSERT(text().ends_with("\r\n0\r\n\r\n"));
        CPPUNIT_ASSERT(text().find("id: 60\n") != std::string::npos);
    }

    // Guards against a router that no longer follows the configuration after
    // one that it could not apply.
    void the_next_configuration_comes_into_force()
    {
        fleet_site site{throwing_adapter()};
        site.wait_ready();
        site.put_configuration(3);
        site.run_for(duration{200});
        site.max_body_bytes = 10;
        site.put_configuration(4);
        CPPUNIT_ASSERT(site.run_until(
            [&]
            {
                return site.send(fleet_site::request("POST", "/order/1", "",
                                                     std::string(100, 'b')))
                           .status == 413;
            }));
    }

    // Guards against a connection that closes without a response, and against
    // tokens that stay reserved.
    void a_request_that_throws_gets_a_response()
    {
        fleet_site site{throwing_adapter()};
        site.add_server("i-1", "app",
                        [](request const& got) {
                            return script{{complete_response(got, 200, "ok")}};
                        });
        site.wait_ready();
        CPPUNIT_ASSERT_EQUAL(503, site.send(throwing("prepare")).status);
        CPPUNIT_ASSERT_EQUAL(
            200, site.send(fleet_site::request("GET", "/read/1")).status);
    }

    // Guards against a connection that stays open and is never read again, and
    // against one that closes without a response and a line in the log.
    void a_caller_whose_request_cannot_be_read_is_disconnected()
    {
        fleet_site site{throwing_adapter()};
        site.wait_ready();
        std::array<int, 2> log{};
        CPPUNIT_ASSERT_EQUAL(0, ::pipe(log.data()));
        CPPUNIT_ASSERT_EQUAL(0, ::fcntl(log[0], F_SETFL, O_NONBLOCK));
        CPPUNIT_ASSERT_EQUAL(0, ::fcntl(log[1], F_SETFL, O_NONBLOCK));
        CPPUNIT_ASSERT(::dup2(log[1], site.log_descriptor) >= 0);
        ::close(log[1]);
        auto const caller = site.begin(throwing("read"));
        CPPUNIT_ASSERT(
            site.run_until([&] { return caller->end() != peer_end::open; }));
        CPPUNIT_ASSERT(peer_end::finished == caller->end());
        auto const bytes = caller->input().data();
        std::string const got{static_cast<char const*>(bytes.data()),
                              bytes.size()};
        CPPUNIT_ASSERT(got.starts_with("HTTP/1.1 503 "));
        std::string logged;
        CPPUNIT_ASSERT(site.run_until(
            [&]
            {
                std::array<char, 4'096> part{};
                auto const size = ::read(log[0], part.data(), part.size());
                logged.append(part.data(), size > 0 ? size : 0);
                return logged.find(" step=request reason=internal_error "
                                   "status=503") != std::string::npos;
            }));
        ::close(log[0]);
    }

    // Guards against a configuration that walks requests which no longer exist.
    void a_rejection_that_throws_leaves_no_request_behind()
    {
        fleet_site site{throwing_adapter()};
        site.wait_ready();
        CPPUNIT_ASSERT(site.send("GET /nowhere HTTP/1.1\r\nHost: x\r\n"
                                 "Request-Id: reject\r\n\r\n")
                           .closed);
        site.max_body_bytes = 10;
        site.put_configuration(5);
        CPPUNIT_ASSERT(site.run_until(
            [&]
            {
                return site.send(fleet_site::request("POST", "/order/1", "",
                                                     std::string(100, 'b')))
                           .status == 413;
            }));
    }

    // Guards against a stop that walks sessions and requests that no longer
    // exist.
    void a_router_stops_in_order_after_exceptions()
    {
        fleet_site site{throwing_adapter()};
        site.add_server("i-1", "app",
                        [](request const& got) {
                            return script{{complete_response(got, 200, "ok")}};
                        });
        site.wait_ready();
        for (auto const* const where : {"read", "prepare", "read"})
        {
            site.send(throwing(where));
        }
        site.router->stop();
        CPPUNIT_ASSERT(site.run_until([&] { return site.router->stopped(); }));
    }

    // Guards against periodic work that ends for good at its first exception.
    void a_timer_that_throws_runs_again()
    {
        boost::asio::io_context loop;
        boost::asio::steady_timer timer{loop};
        auto runs = 0;
        run_after(timer, duration{1},
                  [&]
                  {
                      runs += 1;
                      if (runs < 3)
                      {
                          throw std::runtime_error{"a run"};
                      }
                  });
        for (auto i = 0; i < 2; ++i)
        {
            CPPUNIT_ASSERT_THROW(loop.run(), std::runtime_error);
        }
        loop.run();
        CPPUNIT_ASSERT_EQUAL(3, runs);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_exception_test);
