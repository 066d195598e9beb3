#include "http/raw_client.hpp"
#include "http/server.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <future>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

using namespace caperpath;

class server_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_test);
    CPPUNIT_TEST(an_address_is_bound_once);
    CPPUNIT_TEST(a_large_response_is_not_compressed);
    CPPUNIT_TEST(a_response_in_progress_at_a_stop_completes);
    CPPUNIT_TEST(a_stream_that_begins_after_a_stop_completes);
    CPPUNIT_TEST(queued_connections_are_served_at_a_stop);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int most_tries = 1'000;

    static void pause()
    {
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }

    static bool refuses_connections(int port)
    {
        httplib::Client client{"127.0.0.1", port};
        auto const answer = client.Get("/none");
        return !answer && answer.error() == httplib::Error::Connection;
    }

    /// Returns the body received from a handler that ends only after the
    /// server has begun to stop, or the error of the call.
    static std::string answer_during_stop(
        std::function<void(httplib::Response&)> const& make_answer)
    {
        http::server server;
        std::promise<void> entered;
        std::promise<void> stopped;
        server.Get("/slow",
                   [&](httplib::Request const&, httplib::Response& response)
                   {
                       entered.set_value();
                       stopped.get_future().wait();
                       make_answer(response);
                   });
        int const port = server.start("127.0.0.1:0");
        auto caller = std::async(std::launch::async,
                                 [port]
                                 {
                                     httplib::Client client{"127.0.0.1", port};
                                     auto const answer = client.Get("/slow");
                                     return answer ? answer->body
                                                   : to_string(answer.error());
                                 });
        entered.get_future().wait();
        auto stop =
            std::async(std::launch::async, [&server] { server.finish(); });
        for (int tries = 0; !refuses_connections(port); ++tries)
        {
            CPPUNIT_ASSERT(tries < most_tries);
            pause();
        }
        stopped.set_value();
        stop.wait();
        return caller.get();
    }

    // A second router is started on a VM by mistake while the first one runs.
    // If both could listen on the port, the second would consider the first
    // dead and give away its share of a budget while the first still spends it.
    void an_address_is_bound_once()
    {
        http::server first;
        int const port = first.start("127.0.0.1:0");
        CPPUNIT_ASSERT(port > 0);
        http::server second;
        CPPUNIT_ASSERT_EQUAL(-1,
                             second.bind("127.0.0.1:" + std::to_string(port)));
    }

    // Common clients accept compressed responses. Compressing 200 KB takes
    // 208 ms of processor time, which delays all other callers.
    void a_large_response_is_not_compressed()
    {
        http::server server;
        std::string const body(200'000, 'x');
        server.Get("/",
                   [&](httplib::Request const&, httplib::Response& response)
                   { http::set_body(response, body, "application/json"); });
        int const port = server.start("127.0.0.1:0");
        httplib::Client client{"127.0.0.1", port};
        client.set_decompress(false);
        auto const answer =
            client.Get("/", {{"Accept-Encoding", "br, gzip, deflate"}});
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(std::string{},
                             answer->get_header_value("Content-Encoding"));
        CPPUNIT_ASSERT(answer->body == body);
    }

    // Guards against the library omitting the body once its server stops.
    void a_response_in_progress_at_a_stop_completes()
    {
        std::string const body(200'000, 'x');
        auto const got = answer_during_stop(
            [&](httplib::Response& response)
            { http::set_body(response, body, "application/json"); });
        CPPUNIT_ASSERT_EQUAL(body.size(), got.size());
        CPPUNIT_ASSERT(body == got);
    }

    // Guards against the same for a chunked body whose first chunk is written
    // after the server has begun to stop.
    void a_stream_that_begins_after_a_stop_completes()
    {
        auto const got = answer_during_stop(
            [](httplib::Response& response)
            {
                response.set_chunked_content_provider(
                    "text/event-stream",
                    [sent = 0](std::size_t, httplib::DataSink& sink) mutable
                    {
                        sink.write("piece ", 6);
                        if (++sent == 3)
                        {
                            sink.done();
                        }
                        return true;
                    });
            });
        CPPUNIT_ASSERT_EQUAL(std::string{"piece piece piece "}, got);
    }

    // Guards against the loss of connections that the kernel has established
    // but the accept loop has not accepted when the server stops.
    void queued_connections_are_served_at_a_stop()
    {
        constexpr std::size_t callers = 100;
        http::server server;
        server.Get("/", [](httplib::Request const&, httplib::Response& response)
                   { http::set_body(response, "served", "text/plain"); });
        int const port = server.bind("127.0.0.1:0");
        std::vector<raw_client> waiting;
        for (std::size_t i = 0; i < callers; ++i)
        {
            waiting.emplace_back(port).send(
                "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        }
        server.serve();
        server.finish();
        auto const served =
            std::count_if(waiting.begin(), waiting.end(),
                          [](auto const& caller)
                          { return caller.read_all().ends_with("served"); });
        CPPUNIT_ASSERT_EQUAL(static_cast<std::ptrdiff_t>(callers), served);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_test);
