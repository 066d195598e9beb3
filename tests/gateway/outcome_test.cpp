#include "gateway/fleet_site.hpp"
#include "gateway/plain_caller.hpp"

#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace caperpath;
using namespace caperpath::gateway;

/// One honest answer to each request, whatever its server does.
class outcome_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(outcome_test);
    CPPUNIT_TEST(an_answer_comes_back_unchanged);
    CPPUNIT_TEST(what_no_configuration_allows_is_refused);
    CPPUNIT_TEST(a_router_without_a_configuration_says_come_back);
    CPPUNIT_TEST(an_order_whose_answer_breaks_off_is_in_doubt);
    CPPUNIT_TEST(an_order_that_did_not_run_goes_to_another_server);
    CPPUNIT_TEST(a_read_that_fails_is_tried_at_a_second_server);
    CPPUNIT_TEST(an_answer_to_an_earlier_request_is_not_passed_on);
    CPPUNIT_TEST(an_answer_without_a_length_ends_with_its_connection);
    CPPUNIT_TEST(an_answer_without_a_length_that_is_reset_is_not_whole);
    CPPUNIT_TEST(a_silent_server_is_given_up_at_the_route_s_timeout);
    CPPUNIT_TEST(a_request_inside_another_one_is_refused);
    CPPUNIT_TEST(a_body_above_the_limit_is_refused);
    CPPUNIT_TEST(a_caller_refused_early_can_send_on_and_read_why);
    CPPUNIT_TEST(a_server_is_told_when_its_caller_left);
    CPPUNIT_TEST_SUITE_END();

    using request = fake_server::request;

    /// A server that takes requests and says nothing, at a router that is
    /// ready.
    static fake_server& add_silent_server(fleet_site& here)
    {
        auto& server =
            here.add_server("i-1", "app",
                            [](request const&) {
                                return script{{}, script::end::silent};
                            });
        CPPUNIT_ASSERT(here.run_until([&] { return here.readiness() == 200; }));
        return server;
    }

    static script ok(request const& got)
    {
        return {{whole_answer(got, 200, "done")}};
    }

    void an_answer_comes_back_unchanged()
    {
        fleet_site here;
        auto& server = here.add_server("i-1", "app", ok);
        CPPUNIT_ASSERT(here.run_until([&] { return here.readiness() == 200; }));
        auto const got =
            here.send(fleet_site::request("POST", "/order/1?a=b", "", "order"));
        CPPUNIT_ASSERT_EQUAL(200, got.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, got.body);
        CPPUNIT_ASSERT(got.head.find("Upstream-Signature: s1") !=
                       std::string::npos);
        auto const& sent = server.requests.at(0);
        CPPUNIT_ASSERT(sent.target() == "/order/1?a=b");
        CPPUNIT_ASSERT_EQUAL(std::string{"order"}, sent.body());
        CPPUNIT_ASSERT(sent["Tenant-Id"] == "taller");
        CPPUNIT_ASSERT(sent["Expected-Instance"] == "i-1");
        CPPUNIT_ASSERT(sent.find("Authorization") == sent.end());
        CPPUNIT_ASSERT(std::stoi(std::string{sent["Deadline-Ms"]}) <= 600);
    }

    void what_no_configuration_allows_is_refused()
    {
        fleet_site here;
        here.add_server("i-1", "app", ok);
        CPPUNIT_ASSERT(here.run_until([&] { return here.readiness() == 200; }));
        CPPUNIT_ASSERT_EQUAL(
            404, here.send(fleet_site::request("GET", "/none/")).status);
        CPPUNIT_ASSERT_EQUAL(
            401, here.send("GET /read/ HTTP/1.1\r\nHost: site.example\r\n"
                           "Authorization: Bearer other\r\n\r\n")
                     .status);
    }

    // A router has just started and could not read the configuration yet. If it
    // answered that there is no such route, the caller would give up for good.
    void a_router_without_a_configuration_says_come_back()
    {
        fleet_site here{false};
        auto const got = here.send(fleet_site::request("GET", "/read/"));
        CPPUNIT_ASSERT_EQUAL(503, got.status);
        CPPUNIT_ASSERT(got.head.find("Retry-After") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(503, here.readiness());
    }

    // A server takes an order, begins to answer and its connection is reset.
    // The order may have run. Told "not run", the caller would order twice.
    void an_order_whose_answer_breaks_off_is_in_doubt()
    {
        fleet_site here;
        auto const breaks = [](request const&)
        {
            return script{{"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf"},
                          script::end::reset};
        };
        auto& first = here.add_server("i-1", "app", breaks);
        auto& second = here.add_server("i-2", "app", breaks);
        CPPUNIT_ASSERT(here.run_until([&] { return here.readiness() == 200; }));
        auto const got =
            here.send(fleet_site::request("POST", "/order/1", "", "order"));
        CPPUNIT_ASSERT_EQUAL(502, got.status);
        CPPUNIT_ASSERT(got.body.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             first.requests.size() + second.requests.size());
    }

    void an_order_that_did_not_run_goes_to_another_server()
    {
        fleet_site here;
        int refusals = 0;
        auto const full_once = [&refusals](request const& got)
        {
            refusals += 1;
            return refusals == 1 ? script{{whole_answer(got, 503, "",
                                                        "Not-Executed: 1\r\n")}}
                                 : ok(got);
        };
        here.add_server("i-1", "app", full_once);
        here.add_server("i-2", "app", full_once);
        CPPUNIT_ASSERT(here.run_until([&] { return here.readiness() == 200; }));
        auto const got =
            here.send(fleet_site::request("POST", "/order/1", "", "order"));
        CPPUNIT_ASSERT_EQUAL(200, got.status);
        CPPUNIT_ASSERT_EQUAL(2, refusals);
    }

    void a_read_that_fails_is_tried_at_a_second_server()
    {
        fleet_site here;
        int runs = 0;
        auto const fails_once = [&runs](request const& got)
        {
            runs += 1;
            return runs == 1 ? script{{whole_answer(got, 500, "sorry")}}
                             : ok(got);
        };
        here.add_server("i-1", "app", fails_once);
        here.add_server("i-2", "app", fails_once);
        CPPUNIT_ASSERT(here.run_until([&] { return here.readiness() == 200; }));
        CPPUNIT_ASSERT_EQUAL(
            200, here.send(fleet_site::request("GET", "/read/1")).status);
        CPPUNIT_ASSERT_EQUAL(2, runs);
    }

    // A server answers a request a second time, just when the next one is on
    // its connection. Passed on, a caller would read somebody else's answer.
    void an_answer_to_an_earlier_request_is_not_passed_on()
    {
        fleet_site here;
        auto const twice = [](request const& got)
        {
            return script{{"HTTP/1.1 200 OK\r\nRequest-Id: old\r\n"
                           "Content-Length: 3\r\n\r\nold" +
                           whole_answer(got, 200, "new")}};
        };
        here.add_server("i-1", "app", twice);
        CPPUNIT_ASSERT(here.run_until([&] { return here.readiness() == 200; }));
        for (int i = 0; i < 3; ++i)
        {
            auto const got =
                here.send(fleet_site::request("POST", "/order/1", "", "x"));
            CPPUNIT_ASSERT_EQUAL(200, got.status);
            CPPUNIT_ASSERT_EQUAL(std::string{"new"}, got.body);
        }
    }

    static std::string unframed(request const& got)
    {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " +
               std::string{got["Request-Id"]} +
               "\r\nUpstream-Signature: s1\r\n\r\n";
    }

    void an_answer_without_a_length_ends_with_its_connection()
    {
        fleet_site here;
        here.add_server(
            "i-1", "app",
            [](request const& got) {
                return script{{unframed(got), "do", "ne"}, script::end::close};
            });
        CPPUNIT_ASSERT(here.run_until([&] { return here.readiness() == 200; }));
        auto const got =
            here.send(fleet_site::request("POST", "/order/1", "", "x"));
        CPPUNIT_ASSERT_EQUAL(200, got.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, got.body);
    }

    // An answer that ends with its connection is reset half way. Taken for
    // whole, the caller would work with half of it and not know.
    void an_answer_without_a_length_that_is_reset_is_not_whole()
    {
        fleet_site here;
        here.add_server(
            "i-1", "app",
            [](request const& got) {
                return script{{unframed(got), "do"}, script::end::reset};
            });
        CPPUNIT_ASSERT(here.run_until([&] { return here.readiness() == 200; }));
        CPPUNIT_ASSERT_EQUAL(
            502,
            here.send(fleet_site::request("POST", "/order/1", "", "x")).status);
    }

    // A server takes an order and says nothing more. The caller must hear in
    // the time that the operator set, and not that it did not run.
    void a_silent_server_is_given_up_at_the_route_s_timeout()
    {
        fleet_site here;
        auto& server = add_silent_server(here);
        CPPUNIT_ASSERT_EQUAL(
            504,
            here.send(fleet_site::request("POST", "/order/1", "", "x")).status);
        CPPUNIT_ASSERT(
            here.run_until([&] { return server.closed_by_router == 1; }));
    }

    // Two headers disagree where a request ends. A server that believes the
    // other one would run what is inside as a request of its own.
    void a_request_inside_another_one_is_refused()
    {
        fleet_site here;
        auto& server = here.add_server("i-1", "app", ok);
        CPPUNIT_ASSERT(here.run_until([&] { return here.readiness() == 200; }));
        std::string const inner = "GET /read/2 HTTP/1.1\r\nHost: x\r\n\r\n";
        auto const got = here.send(
            "POST /order/1 HTTP/1.1\r\nHost: site.example\r\n"
            "Authorization: Bearer key\r\nTransfer-Encoding: chunked\r\n"
            "Content-Length: 5\r\n\r\n0\r\n\r\n" +
            inner);
        CPPUNIT_ASSERT_EQUAL(400, got.status);
        CPPUNIT_ASSERT(server.requests.empty());
    }

    void a_body_above_the_limit_is_refused()
    {
        fleet_site here;
        auto& server = here.add_server("i-1", "app", ok);
        CPPUNIT_ASSERT(here.run_until([&] { return here.readiness() == 200; }));
        auto const got = here.send(fleet_site::request(
            "POST", "/order/1", "", std::string(2'001, 'x')));
        CPPUNIT_ASSERT_EQUAL(413, got.status);
        CPPUNIT_ASSERT(server.requests.empty());
    }

    // Guards against a reset that takes the refusal from a caller which is
    // still sending its body.
    void a_caller_refused_early_can_send_on_and_read_why()
    {
        fleet_site here;
        here.add_server("i-1", "app", ok);
        CPPUNIT_ASSERT(here.run_until([&] { return here.readiness() == 200; }));
        plain_caller caller{here.callers_port()};
        caller.send(
            "POST /order/1 HTTP/1.1\r\nHost: site.example\r\n"
            "Authorization: Bearer key\r\nContent-Length: 9000\r\n\r\n");
        got_answer got;
        CPPUNIT_ASSERT(here.run_until(
            [&]
            {
                caller.send("rest of the body");
                got = caller.received();
                return got.status != 0;
            }));
        CPPUNIT_ASSERT_EQUAL(413, got.status);
        here.loop.run_for(std::chrono::milliseconds{20});
        for (int i = 0; i < 5; ++i)
        {
            caller.send("rest of the body");
            here.loop.run_for(std::chrono::milliseconds{2});
        }
    }

    // A caller leaves while its request runs. Without a word the server works
    // on for nobody and keeps a place that others need.
    void a_server_is_told_when_its_caller_left()
    {
        fleet_site here;
        auto& server = add_silent_server(here);
        {
            tcp::socket socket{here.loop};
            socket.connect({asio::ip::make_address("127.0.0.1"),
                            here.router->callers_port()});
            auto const text = fleet_site::request("GET", "/read/1");
            asio::write(socket, asio::buffer(text));
            CPPUNIT_ASSERT(
                here.run_until([&] { return server.requests.size() == 1; }));
        }
        CPPUNIT_ASSERT(
            here.run_until([&] { return server.closed_by_router == 1; }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(outcome_test);
