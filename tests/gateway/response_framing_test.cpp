#include "gateway/fleet_site.hpp"
#include "gateway/http_client.hpp"
#include "gateway/reserved_port.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <vector>

using namespace caperpath;
using namespace caperpath::gateway;

/// Responses whose head leaves open where the body ends.
class response_framing_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(response_framing_test);
    CPPUNIT_TEST(a_response_with_another_coding_is_an_error);
    CPPUNIT_TEST(a_stream_with_another_coding_is_an_error);
    CPPUNIT_TEST(an_interim_response_with_a_coding_and_a_length_is_an_error);
    CPPUNIT_TEST(a_repeatable_request_is_repeated_on_another_server);
    CPPUNIT_TEST(a_relayed_response_with_another_coding_is_an_error);
    CPPUNIT_TEST(a_response_of_the_store_with_another_coding_is_an_error);
    CPPUNIT_TEST(sound_chunks_are_relayed_whole);
    CPPUNIT_TEST_SUITE_END();

    using request = fake_server::request;

    /// The framing fields of a response and the bytes behind its head.
    struct message
    {
        std::string version;
        std::string fields;
        std::string body;
    };

    static std::vector<message> const& faulty()
    {
        static std::string const chunks = "4\r\ndone\r\n0\r\n\r\n";
        static std::vector<message> const all{
            {"1.1", "Transfer-Encoding: gzip\r\nContent-Length: 4\r\n", "done"},
            {"1.1", "Content-Length: 4\r\nTransfer-Encoding: gzip\r\n", "done"},
            {"1.1", "Transfer-Encoding: identity\r\nContent-Length: 4\r\n",
             "done"},
            {"1.1", "Transfer-Encoding:\r\nContent-Length: 4\r\n", "done"},
            {"1.1", "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
             chunks},
            {"1.1", "Transfer-Encoding: gzip\r\n", "done"},
            {"1.1", "Transfer-Encoding: chunked, identity\r\n", chunks},
            {"1.1", "Transfer-Encoding: gzip, chunked\r\n", chunks},
            {"1.1", "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
             chunks},
            {"1.1", "Transfer-Encoding: chunked;q=1\r\n", chunks},
            {"1.0", "Transfer-Encoding: chunked\r\n", chunks},
            {"1.0", "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
             chunks},
            {"1.1", "Content-Length: 4, 5\r\n", "done"}};
        return all;
    }

    static std::string response(request const& to, message const& framed,
                                std::string const& more = "")
    {
        return "HTTP/" + framed.version +
               " 200 OK\r\nRequest-Id: " + std::string{to["Request-Id"]} +
               "\r\nUpstream-Signature: s1\r\n" + more + framed.fields +
               "\r\n" + framed.body;
    }

    static fake_server::responder respond_with(message const& framed,
                                               std::string const& more = "")
    {
        return [framed, more](request const& got)
        {
            return script{{response(got, framed, more)}, script::ending::close};
        };
    }

    // Guards against a caller that takes as complete what may be a part of a
    // body, or a body that is encoded without saying so.
    void a_response_with_another_coding_is_an_error()
    {
        for (auto const& each : faulty())
        {
            fleet_site site;
            auto& server = site.add_server("i-1", "app", respond_with(each));
            site.wait_ready();
            auto const got =
                site.send(fleet_site::request("POST", "/order/1", "", "x"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.fields, 502, got.status);
            CPPUNIT_ASSERT(got.body.empty());
            CPPUNIT_ASSERT(got.head.find("Upstream-Signature") ==
                           std::string::npos);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.requests.size());
        }
    }

    // The same for events, which are forwarded as they arrive.
    void a_stream_with_another_coding_is_an_error()
    {
        for (auto const& each : faulty())
        {
            fleet_site site;
            site.add_server(
                "i-1", "llm",
                respond_with(each, "Content-Type: text/event-stream\r\n"));
            site.wait_ready();
            auto const got = site.send(fleet_site::prompt("/chat/1", 10, 10));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.fields, 502, got.status);
        }
    }

    // Guards against a body of a skipped response that is read as the head of
    // the response that counts.
    void an_interim_response_with_a_coding_and_a_length_is_an_error()
    {
        fleet_site site;
        site.add_server("i-1", "app",
                        [](request const& got)
                        {
                            return script{
                                {"HTTP/1.1 200 OK\r\nRequest-Id: old\r\n"
                                 "Transfer-Encoding: gzip\r\n"
                                 "Content-Length: 3\r\n\r\nold" +
                                 complete_response(got, 200, "new")}};
                        });
        site.wait_ready();
        CPPUNIT_ASSERT_EQUAL(
            502,
            site.send(fleet_site::request("POST", "/order/1", "", "x")).status);
    }

    // Guards against an idempotent request that fails for one faulty response.
    void a_repeatable_request_is_repeated_on_another_server()
    {
        fleet_site site;
        int runs = 0;
        auto const is_faulty_once = [&runs](request const& got)
        {
            runs += 1;
            return runs == 1 ? script{{response(got, faulty().front())},
                                      script::ending::close}
                             : script{{complete_response(got, 200, "done")}};
        };
        site.add_server("i-1", "app", is_faulty_once);
        site.add_server("i-2", "app", is_faulty_once);
        site.wait_ready();
        auto const got = site.send(fleet_site::request("GET", "/read/1"));
        CPPUNIT_ASSERT_EQUAL(200, got.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, got.body);
        CPPUNIT_ASSERT_EQUAL(2, runs);
    }

    // The same for a server that only another router reaches.
    void a_relayed_response_with_another_coding_is_an_error()
    {
        fleet_site relay;
        fleet_site site{relay};
        reserved_port const refusing;
        fake_server server{site.loop, respond_with(faulty().front())};
        relay.list_server("i-1", "app", server.address());
        site.list_server("i-1", "app", refusing.address());
        auto const run_relay = [&relay]
        {
            relay.loop.run_for(std::chrono::milliseconds{1});
        };
        CPPUNIT_ASSERT(
            relay.run_until([&] { return relay.readiness() == 200; }));
        CPPUNIT_ASSERT(site.run_until(
            [&]
            {
                run_relay();
                return site.readiness() == 200;
            }));
        auto const caller =
            site.begin(fleet_site::request("POST", "/order/1", "", "x"));
        CPPUNIT_ASSERT(site.run_until(
            [&]
            {
                run_relay();
                return caller->has_input();
            }));
        auto const bytes = caller->input().data();
        std::string const got{static_cast<char const*>(bytes.data()),
                              bytes.size()};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.requests.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"HTTP/1.1 502"}, got.substr(0, 12));
    }

    // Guards against rows of the store that were cut or are encoded.
    void a_response_of_the_store_with_another_coding_is_an_error()
    {
        for (auto const& each : faulty())
        {
            asio::io_context loop;
            fake_server server{loop, respond_with(each)};
            http_client client{loop.get_executor(), server.address()};
            http::request<http::string_body> call{http::verb::get, "/rows", 11};
            std::optional<call_result> result;
            client.send(call, {duration{2'000}, duration{2'000}},
                        [&](call_result got) { result = std::move(got); });
            auto const until =
                std::chrono::steady_clock::now() + std::chrono::seconds{5};
            while (!result && std::chrono::steady_clock::now() < until)
            {
                loop.run_for(std::chrono::milliseconds{2});
            }
            CPPUNIT_ASSERT(result);
            CPPUNIT_ASSERT_MESSAGE(each.fields, !result->response);
        }
    }

    // Guards against an error for a response that is framed as allowed.
    void sound_chunks_are_relayed_whole()
    {
        for (auto const* const fields : {"Transfer-Encoding: chunked\r\n",
                                         "TRANSFER-ENCODING: CHUNKED\r\n",
                                         "Transfer-Encoding: \tChunked \r\n"})
        {
            fleet_site site;
            site.add_server(
                "i-1", "app",
                respond_with({"1.1", fields, "4;a=b\r\ndone\r\n0;c\r\n\r\n"}));
            site.wait_ready();
            auto const got =
                site.send(fleet_site::request("POST", "/order/1", "", "x"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fields, 200, got.status);
            CPPUNIT_ASSERT_EQUAL(std::string{"done"}, got.body);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(response_framing_test);
