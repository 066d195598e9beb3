#include "gateway/fleet_site.hpp"
#include "gateway/standalone_client.hpp"
#include "gateway/unreachable_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <utility>

using namespace caperpath;
using namespace caperpath::gateway;

namespace
{

constexpr int small_buffer = 4'096;

/// A server that reads nothing of a request for some time, then the whole of
/// it, and responds.
class late_reader
{
public:
    late_reader(asio::io_context& loop, std::chrono::milliseconds pause)
        : loop{loop}, pause{pause}, acceptor{loop, tcp::v4()}
    {
        // Accepted connections inherit the size.
        this->acceptor.set_option(
            asio::socket_base::receive_buffer_size{small_buffer});
        this->acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
        this->acceptor.listen();
        this->accept();
    }

    std::string address() const
    {
        return "127.0.0.1:" +
               std::to_string(this->acceptor.local_endpoint().port());
    }

    std::size_t read_bytes{}; ///< of the body of the latest request

private:
    void accept()
    {
        this->acceptor.async_accept(
            [this](boost::system::error_code fault, tcp::socket socket)
            {
                if (fault)
                {
                    return;
                }
                asio::co_spawn(this->loop, this->serve(std::move(socket)),
                               asio::detached);
                this->accept();
            });
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        boost::system::error_code fault;
        co_await socket.async_wait(
            tcp::socket::wait_read,
            asio::redirect_error(asio::use_awaitable, fault));
        asio::steady_timer timer{this->loop, this->pause};
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, fault));
        boost::beast::flat_buffer buffer;
        boost::beast::http::request_parser<boost::beast::http::string_body> got;
        got.body_limit(boost::none);
        co_await boost::beast::http::async_read(
            socket, buffer, got,
            asio::redirect_error(asio::use_awaitable, fault));
        if (fault)
        {
            co_return;
        }
        this->read_bytes = got.get().body().size();
        auto const response = complete_response(got.get(), 200, "done");
        co_await asio::async_write(
            socket, asio::buffer(response),
            asio::redirect_error(asio::use_awaitable, fault));
    }

    asio::io_context& loop;
    std::chrono::milliseconds pause;
    tcp::acceptor acceptor;
};

std::string with_time_limit(std::string text, duration limit)
{
    std::string const usual{"Deadline-Ms: 1500"};
    return text.replace(text.find(usual), usual.size(),
                        "Deadline-Ms: " + std::to_string(limit.ms));
}

} // namespace

/// Peers that are alive and acknowledge nothing for longer than a timeout of
/// silent connections.
class silence_timeout_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(silence_timeout_test);
    CPPUNIT_TEST(a_server_that_reads_a_long_body_late_gets_all_of_it);
    CPPUNIT_TEST(a_caller_that_reads_a_stream_late_gets_all_of_it);
    CPPUNIT_TEST(a_caller_that_reads_a_last_response_late_gets_all_of_it);
    CPPUNIT_TEST(a_caller_that_is_silent_around_a_streams_end_gets_all_of_it);
    CPPUNIT_TEST(a_stream_outlasts_the_silence_of_its_server);
    CPPUNIT_TEST(a_stream_at_a_silent_server_that_is_unlisted_ends);
    CPPUNIT_TEST(a_stream_at_a_running_server_that_is_unlisted_goes_on);
    CPPUNIT_TEST_SUITE_END();

    static constexpr duration time_limit{30'000};

    static void prepare(fleet_site& site)
    {
        site.route_timeout = time_limit;
        site.max_body_bytes = 64'000'000;
        site.put_configuration(2);
    }

    // Guards against a request that cannot be sent again and is cut because its
    // server keeps its receive window closed for a while.
    void a_server_that_reads_a_long_body_late_gets_all_of_it()
    {
        constexpr std::size_t body_size = 8'000'000;
        fleet_site site;
        prepare(site);
        late_reader server{site.loop, std::chrono::milliseconds{5'000}};
        site.list_server("i-1", "app", server.address());
        site.wait_ready();
        auto const got = site.send(
            with_time_limit(fleet_site::request("POST", "/order/1", "",
                                                std::string(body_size, 'b')),
                            time_limit));
        CPPUNIT_ASSERT_EQUAL(200, got.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, got.body);
        CPPUNIT_ASSERT_EQUAL(body_size, server.read_bytes);
    }

    /// The response to `text` for a caller that reads nothing for `pause`.
    static received_response read_late(fleet_site& site,
                                       std::string const& text, duration pause)
    {
        standalone_client caller{site.callers_port(), small_buffer};
        caller.send(text);
        site.run_for(pause);
        received_response got;
        CPPUNIT_ASSERT(site.run_until(
            [&]
            {
                got = caller.received();
                return got.complete || got.closed;
            }));
        return got;
    }

    // Guards against a stream that is cut because its caller keeps its receive
    // window closed for a while.
    void a_caller_that_reads_a_stream_late_gets_all_of_it()
    {
        constexpr int events = 80;
        constexpr std::size_t event_size = 100'000;
        auto const event = "data: " + std::string(event_size, 'x') + "\n\n";
        fleet_site site;
        prepare(site);
        site.add_server("i-1", "llm",
                        [&event](fake_server::request const& got)
                        {
                            script all{{stream_head(got)}};
                            all.pieces.insert(all.pieces.end(), events,
                                              chunk_of(event));
                            all.pieces.push_back(chunk_of(""));
                            return all;
                        });
        site.wait_ready();
        auto const got = read_late(
            site,
            with_time_limit(fleet_site::prompt("/chat/1", 500, 20), time_limit),
            duration{9'000});
        CPPUNIT_ASSERT(got.complete);
        CPPUNIT_ASSERT_EQUAL(events * event.size(), got.body.size());
    }

    // Guards against a response that is cut when its server has sent all of it
    // and no other request follows on the caller's connection.
    void a_caller_that_reads_a_last_response_late_gets_all_of_it()
    {
        std::string const body(8'000'000, 'b');
        fleet_site site;
        prepare(site);
        site.add_server("i-1", "app",
                        [&body](fake_server::request const& got) {
                            return script{{complete_response(got, 200, body)}};
                        });
        site.wait_ready();
        auto const got = read_late(
            site,
            with_time_limit(fleet_site::request("POST", "/order/1",
                                                "Connection: close\r\n"),
                            time_limit),
            duration{2'000});
        CPPUNIT_ASSERT(got.complete);
        CPPUNIT_ASSERT_EQUAL(body.size(), got.body.size());
    }

    // Guards against a stream that is cut after its server has ended it, since
    // its caller had acknowledged nothing for longer than was left of its time.
    void a_caller_that_is_silent_around_a_streams_end_gets_all_of_it()
    {
        constexpr duration limit{14'000};
        unreachable_plan plan;
        plan.drops_packets = false;
        plan.first_event = "data: " + std::string(100'000, 'x') + "\n\n";
        fleet_site site;
        prepare(site);
        unreachable_server server{site.loop, std::chrono::milliseconds{5'000},
                                  plan};
        site.list_server("i-1", "llm", server.address());
        site.wait_ready();
        auto const got = read_late(
            site,
            with_time_limit(fleet_site::prompt("/chat/1", 500, 20), limit),
            duration{9'500});
        CPPUNIT_ASSERT(got.complete);
        CPPUNIT_ASSERT_EQUAL(unreachable_server::body(plan), got.body);
    }

    // Guards against a stream that is cut because the path to its server loses
    // all packets for a while.
    void a_stream_outlasts_the_silence_of_its_server()
    {
        fleet_site site;
        prepare(site);
        unreachable_plan plan;
        unreachable_server server{site.loop, std::chrono::milliseconds{5'000},
                                  plan};
        site.list_server("i-1", "llm", server.address());
        site.wait_ready();
        auto const got = site.send(with_time_limit(
            fleet_site::prompt("/chat/1", 500, 20), time_limit));
        CPPUNIT_ASSERT(got.complete);
        CPPUNIT_ASSERT_EQUAL(unreachable_server::body(plan), got.body);
    }

    // Guards against a caller that waits until its deadline for a server whose
    // machine is gone.
    void a_stream_at_a_silent_server_that_is_unlisted_ends()
    {
        fleet_site site;
        prepare(site);
        unreachable_plan plan;
        unreachable_server server{site.loop, std::chrono::minutes{1}, plan};
        site.list_server("i-1", "llm", server.address());
        site.wait_ready();
        auto const caller = site.begin(with_time_limit(
            fleet_site::prompt("/chat/1", 500, 20), time_limit));
        CPPUNIT_ASSERT(site.run_until([&] { return caller->has_input(); }));
        server.drop_connects();
        site.store.put("servers", "i-1", std::nullopt);
        CPPUNIT_ASSERT(
            site.run_until([&] { return caller->end() != peer_end::open; }));
    }

    // Guards against a stream that is cut because its server drains and its
    // entry goes, while the path loses all packets of the stream's connection.
    void a_stream_at_a_running_server_that_is_unlisted_goes_on()
    {
        fleet_site site;
        prepare(site);
        unreachable_plan plan;
        unreachable_server server{site.loop, std::chrono::milliseconds{5'000},
                                  plan};
        site.list_server("i-1", "llm", server.address());
        site.wait_ready();
        auto const caller = site.begin(with_time_limit(
            fleet_site::prompt("/chat/1", 500, 20), time_limit));
        CPPUNIT_ASSERT(site.run_until([&] { return caller->has_input(); }));
        site.store.put("servers", "i-1", std::nullopt);
        boost::beast::http::response_parser<boost::beast::http::string_body>
            parser;
        parser.eager(true);
        CPPUNIT_ASSERT(site.run_until(
            [&]
            {
                boost::system::error_code fault;
                auto& input = caller->input();
                input.consume(input.size() > 0 ? parser.put(input.data(), fault)
                                               : 0);
                caller->resume();
                return parser.is_done() || caller->end() != peer_end::open;
            }));
        CPPUNIT_ASSERT(parser.is_done());
        CPPUNIT_ASSERT_EQUAL(unreachable_server::body(plan),
                             parser.get().body());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(silence_timeout_test);
