#include "gateway/fleet_site.hpp"
#include "gateway/standalone_client.hpp"

#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace caperpath;
using namespace caperpath::gateway;

/// Each request gets one response that states correctly what happened to it,
/// whatever its server does.
class outcome_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(outcome_test);
    CPPUNIT_TEST(a_response_is_forwarded_unchanged);
    CPPUNIT_TEST(unknown_routes_and_keys_are_rejected);
    CPPUNIT_TEST(a_router_without_a_configuration_asks_for_a_retry);
    CPPUNIT_TEST(an_order_with_a_truncated_response_is_not_retried);
    CPPUNIT_TEST(an_order_that_did_not_run_goes_to_another_server);
    CPPUNIT_TEST(a_failed_read_is_retried_on_a_second_server);
    CPPUNIT_TEST(a_response_to_an_earlier_request_is_not_forwarded);
    CPPUNIT_TEST(a_response_without_a_length_ends_with_its_connection);
    CPPUNIT_TEST(a_reset_response_without_a_length_is_an_error);
    CPPUNIT_TEST(a_silent_server_fails_at_the_timeout_of_the_route);
    CPPUNIT_TEST(a_request_with_conflicting_lengths_is_rejected);
    CPPUNIT_TEST(a_body_above_the_limit_is_rejected);
    CPPUNIT_TEST(a_caller_rejected_early_can_read_the_response);
    CPPUNIT_TEST(a_server_connection_is_closed_when_its_caller_leaves);
    CPPUNIT_TEST_SUITE_END();

    using request = fake_server::request;

    /// Adds a server that takes requests and never responds, and waits until
    /// the router is ready.
    static fake_server& add_silent_server(fleet_site& site)
    {
        auto& server =
            site.add_server("i-1", "app",
                            [](request const&) {
                                return script{{}, script::ending::silent};
                            });
        CPPUNIT_ASSERT(site.run_until([&] { return site.readiness() == 200; }));
        return server;
    }

    static script respond_done(request const& got)
    {
        return {{complete_response(got, 200, "done")}};
    }

    // Guards against a response or request that is altered on its way, and
    // against a credential of the caller that reaches the server.
    void a_response_is_forwarded_unchanged()
    {
        fleet_site site;
        auto& server = site.add_server("i-1", "app", respond_done);
        CPPUNIT_ASSERT(site.run_until([&] { return site.readiness() == 200; }));
        auto const got =
            site.send(fleet_site::request("POST", "/order/1?a=b", "", "order"));
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

    // Guards against requests for an unknown route, or with an unknown key,
    // that reach a server.
    void unknown_routes_and_keys_are_rejected()
    {
        fleet_site site;
        site.add_server("i-1", "app", respond_done);
        CPPUNIT_ASSERT(site.run_until([&] { return site.readiness() == 200; }));
        CPPUNIT_ASSERT_EQUAL(
            404, site.send(fleet_site::request("GET", "/none/")).status);
        CPPUNIT_ASSERT_EQUAL(
            401, site.send("GET /read/ HTTP/1.1\r\nHost: site.example\r\n"
                           "Authorization: Bearer other\r\n\r\n")
                     .status);
    }

    // Guards against a router that has just started, has not read its
    // configuration yet and responds 404: the caller would give up for good.
    void a_router_without_a_configuration_asks_for_a_retry()
    {
        fleet_site site{false};
        auto const got = site.send(fleet_site::request("GET", "/read/"));
        CPPUNIT_ASSERT_EQUAL(503, got.status);
        CPPUNIT_ASSERT(got.head.find("Retry-After") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(503, site.readiness());
    }

    // A server takes a non-idempotent order and its connection is reset within
    // the response, so the order may have run. Guards against a retry, or a
    // response that says "not run": either makes the order run twice.
    void an_order_with_a_truncated_response_is_not_retried()
    {
        fleet_site site;
        auto const truncates = [](request const&)
        {
            return script{{"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf"},
                          script::ending::reset};
        };
        auto& first = site.add_server("i-1", "app", truncates);
        auto& second = site.add_server("i-2", "app", truncates);
        CPPUNIT_ASSERT(site.run_until([&] { return site.readiness() == 200; }));
        auto const got =
            site.send(fleet_site::request("POST", "/order/1", "", "order"));
        CPPUNIT_ASSERT_EQUAL(502, got.status);
        CPPUNIT_ASSERT(got.body.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             first.requests.size() + second.requests.size());
    }

    // Guards against an order that fails although its server reported that it
    // did not run and another server could take it.
    void an_order_that_did_not_run_goes_to_another_server()
    {
        fleet_site site;
        int calls = 0;
        auto const rejects_once = [&calls](request const& got)
        {
            calls += 1;
            return calls == 1 ? script{{complete_response(
                                    got, 503, "", "Not-Executed: 1\r\n")}}
                              : respond_done(got);
        };
        site.add_server("i-1", "app", rejects_once);
        site.add_server("i-2", "app", rejects_once);
        CPPUNIT_ASSERT(site.run_until([&] { return site.readiness() == 200; }));
        auto const got =
            site.send(fleet_site::request("POST", "/order/1", "", "order"));
        CPPUNIT_ASSERT_EQUAL(200, got.status);
        CPPUNIT_ASSERT_EQUAL(2, calls);
    }

    // Guards against an idempotent request that fails because one of its
    // servers failed.
    void a_failed_read_is_retried_on_a_second_server()
    {
        fleet_site site;
        int runs = 0;
        auto const fails_once = [&runs](request const& got)
        {
            runs += 1;
            return runs == 1 ? script{{complete_response(got, 500, "sorry")}}
                             : respond_done(got);
        };
        site.add_server("i-1", "app", fails_once);
        site.add_server("i-2", "app", fails_once);
        CPPUNIT_ASSERT(site.run_until([&] { return site.readiness() == 200; }));
        CPPUNIT_ASSERT_EQUAL(
            200, site.send(fleet_site::request("GET", "/read/1")).status);
        CPPUNIT_ASSERT_EQUAL(2, runs);
    }

    // A server responds to a request a second time, after the next request was
    // sent on the same connection. Guards against forwarding it: a caller would
    // receive the response of another caller.
    void a_response_to_an_earlier_request_is_not_forwarded()
    {
        fleet_site site;
        auto const responds_twice = [](request const& got)
        {
            return script{{"HTTP/1.1 200 OK\r\nRequest-Id: old\r\n"
                           "Content-Length: 3\r\n\r\nold" +
                           complete_response(got, 200, "new")}};
        };
        site.add_server("i-1", "app", responds_twice);
        CPPUNIT_ASSERT(site.run_until([&] { return site.readiness() == 200; }));
        for (int i = 0; i < 3; ++i)
        {
            auto const got =
                site.send(fleet_site::request("POST", "/order/1", "", "x"));
            CPPUNIT_ASSERT_EQUAL(200, got.status);
            CPPUNIT_ASSERT_EQUAL(std::string{"new"}, got.body);
        }
    }

    /// The head of a response that ends with its connection.
    static std::string head_without_length(request const& got)
    {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " +
               std::string{got["Request-Id"]} +
               "\r\nUpstream-Signature: s1\r\n\r\n";
    }

    // Guards against an error for a response that is complete when its server
    // closes the connection.
    void a_response_without_a_length_ends_with_its_connection()
    {
        fleet_site site;
        site.add_server("i-1", "app",
                        [](request const& got)
                        {
                            return script{
                                {head_without_length(got), "do", "ne"},
                                script::ending::close};
                        });
        CPPUNIT_ASSERT(site.run_until([&] { return site.readiness() == 200; }));
        auto const got =
            site.send(fleet_site::request("POST", "/order/1", "", "x"));
        CPPUNIT_ASSERT_EQUAL(200, got.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, got.body);
    }

    // A response that ends with its connection is reset before its end. Guards
    // against forwarding it as complete: the caller could not tell that a part
    // is missing.
    void a_reset_response_without_a_length_is_an_error()
    {
        fleet_site site;
        site.add_server("i-1", "app",
                        [](request const& got) {
                            return script{{head_without_length(got), "do"},
                                          script::ending::reset};
                        });
        CPPUNIT_ASSERT(site.run_until([&] { return site.readiness() == 200; }));
        CPPUNIT_ASSERT_EQUAL(
            502,
            site.send(fleet_site::request("POST", "/order/1", "", "x")).status);
    }

    // A server takes an order and never responds. Guards against a caller that
    // waits longer than the timeout of the route, or gets a response that
    // states that the order did not run.
    void a_silent_server_fails_at_the_timeout_of_the_route()
    {
        fleet_site site;
        auto& server = add_silent_server(site);
        CPPUNIT_ASSERT_EQUAL(
            504,
            site.send(fleet_site::request("POST", "/order/1", "", "x")).status);
        CPPUNIT_ASSERT(
            site.run_until([&] { return server.closed_by_router == 1; }));
    }

    // Two headers disagree about where a request ends. Guards against request
    // smuggling: a server that follows the other header would run the rest of
    // the body as a separate request.
    void a_request_with_conflicting_lengths_is_rejected()
    {
        fleet_site site;
        auto& server = site.add_server("i-1", "app", respond_done);
        CPPUNIT_ASSERT(site.run_until([&] { return site.readiness() == 200; }));
        std::string const inner = "GET /read/2 HTTP/1.1\r\nHost: x\r\n\r\n";
        auto const got = site.send(
            "POST /order/1 HTTP/1.1\r\nHost: site.example\r\n"
            "Authorization: Bearer key\r\nTransfer-Encoding: chunked\r\n"
            "Content-Length: 5\r\n\r\n0\r\n\r\n" +
            inner);
        CPPUNIT_ASSERT_EQUAL(400, got.status);
        CPPUNIT_ASSERT(server.requests.empty());
    }

    // Guards against a server that receives a body larger than the configured
    // limit.
    void a_body_above_the_limit_is_rejected()
    {
        fleet_site site;
        auto& server = site.add_server("i-1", "app", respond_done);
        CPPUNIT_ASSERT(site.run_until([&] { return site.readiness() == 200; }));
        auto const got = site.send(fleet_site::request(
            "POST", "/order/1", "", std::string(2'001, 'x')));
        CPPUNIT_ASSERT_EQUAL(413, got.status);
        CPPUNIT_ASSERT(server.requests.empty());
    }

    // A request is rejected while its caller still sends the body. Guards
    // against a connection reset that discards the rejection before the caller
    // has read it.
    void a_caller_rejected_early_can_read_the_response()
    {
        fleet_site site;
        site.add_server("i-1", "app", respond_done);
        CPPUNIT_ASSERT(site.run_until([&] { return site.readiness() == 200; }));
        standalone_client caller{site.callers_port()};
        caller.send(
            "POST /order/1 HTTP/1.1\r\nHost: site.example\r\n"
            "Authorization: Bearer key\r\nContent-Length: 9000\r\n\r\n");
        received_response got;
        CPPUNIT_ASSERT(site.run_until(
            [&]
            {
                caller.send("rest of the body");
                got = caller.received();
                return got.status != 0;
            }));
        CPPUNIT_ASSERT_EQUAL(413, got.status);
        site.loop.run_for(std::chrono::milliseconds{20});
        for (int i = 0; i < 5; ++i)
        {
            caller.send("rest of the body");
            site.loop.run_for(std::chrono::milliseconds{2});
        }
    }

    // A caller disconnects while its request runs. Guards against a server that
    // goes on with the request and keeps a slot occupied.
    void a_server_connection_is_closed_when_its_caller_leaves()
    {
        fleet_site site;
        auto& server = add_silent_server(site);
        {
            tcp::socket socket{site.loop};
            socket.connect({asio::ip::make_address("127.0.0.1"),
                            site.router->callers_port()});
            auto const text = fleet_site::request("GET", "/read/1");
            asio::write(socket, asio::buffer(text));
            CPPUNIT_ASSERT(
                site.run_until([&] { return server.requests.size() == 1; }));
        }
        CPPUNIT_ASSERT(
            site.run_until([&] { return server.closed_by_router == 1; }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(outcome_test);
