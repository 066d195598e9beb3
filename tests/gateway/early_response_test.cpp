#include "gateway/fleet_site.hpp"
#include "gateway/reserved_port.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <utility>

using namespace caperpath;
using namespace caperpath::gateway;

namespace
{

/// How a server ends its connection after a part of a response without a
/// length, most of the request unread.
enum class early_end
{
    reset,            ///< together with the part
    shutdown_reset,   ///< in order, then by a reset
    shutdown_silence, ///< in order, and it reads no more
    shutdown_read     ///< in order, once it has read the whole request
};

/// Responds as soon as it has the head of a request. Loop thread only.
class early_server
{
public:
    early_server(asio::io_context& loop, std::string content_type)
        : content_type{std::move(content_type)},
          acceptor{loop, {asio::ip::make_address("127.0.0.1"), 0}}
    {
        constexpr int small = 8'192;
        this->acceptor.set_option(
            asio::socket_base::receive_buffer_size{small});
        asio::co_spawn(loop, this->accept(), asio::detached);
    }

    std::string address() const
    {
        return "127.0.0.1:" +
               std::to_string(this->acceptor.local_endpoint().port());
    }

    early_end end{early_end::reset};
    std::string part;
    std::string content_type;
    std::size_t request_size{};
    int requests{};

private:
    asio::awaitable<void> accept()
    {
        while (true)
        {
            boost::system::error_code fault;
            tcp::socket socket{this->acceptor.get_executor()};
            co_await this->acceptor.async_accept(
                socket, asio::redirect_error(asio::use_awaitable, fault));
            if (fault)
            {
                co_return;
            }
            asio::co_spawn(this->acceptor.get_executor(),
                           this->serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> wait(std::chrono::milliseconds time)
    {
        asio::steady_timer timer{this->acceptor.get_executor()};
        timer.expires_after(time);
        boost::system::error_code ignored;
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        boost::system::error_code fault;
        std::string got(4'096, '\0');
        auto const size = co_await socket.async_read_some(
            asio::buffer(got),
            asio::redirect_error(asio::use_awaitable, fault));
        got.resize(size);
        auto const id = got.find("Request-Id: ");
        if (fault || id == std::string::npos)
        {
            co_return; // a probe
        }
        this->requests += 1;
        auto const head_size = got.find("\r\n\r\n") + 4;
        auto const reply =
            "HTTP/1.1 200 OK\r\n" +
            got.substr(id, got.find("\r\n", id) + 2 - id) +
            "Upstream-Signature: s1\r\nContent-Type: " + this->content_type +
            "\r\n\r\n" + this->part;
        co_await asio::async_write(
            socket, asio::buffer(reply),
            asio::redirect_error(asio::use_awaitable, fault));
        if (this->end == early_end::shutdown_read)
        {
            std::string rest(head_size + this->request_size - size, '\0');
            co_await asio::async_read(
                socket, asio::buffer(rest),
                asio::redirect_error(asio::use_awaitable, fault));
            co_return;
        }
        if (this->end != early_end::reset)
        {
            socket.shutdown(tcp::socket::shutdown_send, fault);
            auto const silent = this->end == early_end::shutdown_silence;
            co_await this->wait(std::chrono::milliseconds{silent ? 3'000 : 60});
        }
        socket.set_option(asio::socket_base::linger{true, 0}, fault);
        socket.close(fault);
    }

    tcp::acceptor acceptor;
};

} // namespace

/// Servers that respond to a long request before they have read it, without a
/// length, and end the connection within the response.
class early_response_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(early_response_test);
    CPPUNIT_TEST(a_part_of_a_response_is_not_seen_as_complete);
    CPPUNIT_TEST(a_part_of_a_stream_is_not_seen_as_complete);
    CPPUNIT_TEST(a_part_that_is_relayed_is_not_seen_as_complete);
    CPPUNIT_TEST(a_response_whose_request_was_read_is_complete);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t body_size = 3'000'000;
    static constexpr early_end cut_ends[]{early_end::reset,
                                          early_end::shutdown_reset,
                                          early_end::shutdown_silence};

    static std::string upload(std::string const& path,
                              std::string const& fields = "")
    {
        return fleet_site::request("POST", path, fields,
                                   std::string(body_size, 'u'));
    }

    struct scenario
    {
        scenario(std::string const& service, std::string const& content_type)
            : server{this->site.loop, content_type}
        {
            this->server.request_size = body_size;
            this->site.max_body_bytes = 2 * body_size;
            this->site.route_timeout = duration{3'000};
            this->site.put_configuration(2);
            this->site.list_server("i-1", service, this->server.address());
            this->site.wait_ready();
        }

        fleet_site site;
        early_server server;
    };

    // Guards against the first part of a response as the whole one.
    void a_part_of_a_response_is_not_seen_as_complete()
    {
        for (auto const end : cut_ends)
        {
            scenario here{"app", "text/plain"};
            here.server.part = "the first part";
            here.server.end = end;
            auto const got = here.site.send(upload("/order/1"));
            CPPUNIT_ASSERT_MESSAGE(std::to_string(static_cast<int>(end)) +
                                       ": " + std::to_string(got.status) + " " +
                                       got.body,
                                   got.status == 502 || got.status == 504);
            CPPUNIT_ASSERT_EQUAL(1, here.server.requests);
        }
    }

    // The same between two events of a stream.
    void a_part_of_a_stream_is_not_seen_as_complete()
    {
        for (auto const end : cut_ends)
        {
            scenario here{"llm", "text/event-stream"};
            here.server.part = "id: 1\ndata: t\n\n";
            here.server.end = end;
            auto const got = here.site.send(
                upload("/chat/1", "Model-Name: m\r\nToken-Count: 10,10\r\n"));
            CPPUNIT_ASSERT_MESSAGE(std::to_string(static_cast<int>(end)),
                                   !got.complete || got.status >= 500);
            CPPUNIT_ASSERT_EQUAL(1, here.server.requests);
        }
    }

    // Guards against a relay that passes on the orderly end and not the reset
    // behind it.
    void a_part_that_is_relayed_is_not_seen_as_complete()
    {
        for (auto const end : {early_end::reset, early_end::shutdown_reset})
        {
            reserved_port const refusing;
            scenario reaching{"app", "text/plain"};
            fleet_site cut_off{reaching.site};
            cut_off.max_body_bytes = 2 * body_size;
            cut_off.route_timeout = duration{3'000};
            cut_off.put_configuration(2);
            cut_off.list_server("i-1", "app", refusing.address());
            reaching.server.part = "the first part";
            reaching.server.end = end;
            auto const run_both = [&](auto const& done)
            {
                CPPUNIT_ASSERT(cut_off.run_until(
                    [&]
                    {
                        reaching.site.loop.run_for(
                            std::chrono::milliseconds{1});
                        return done();
                    }));
            };
            cut_off.wait_ready();
            auto const caller = cut_off.begin(upload("/order/1"));
            run_both([&] { return caller->has_input(); });
            auto const head =
                boost::beast::buffers_to_string(caller->input().data());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(static_cast<int>(end)),
                                         std::string{"HTTP/1.1 50"},
                                         head.substr(0, 11));
            CPPUNIT_ASSERT_EQUAL(1, reaching.server.requests);
        }
    }

    // Guards against an error for a response that is complete when its server
    // closes the connection, although it began before the request was read.
    void a_response_whose_request_was_read_is_complete()
    {
        scenario here{"app", "text/plain"};
        here.server.part = "the whole";
        here.server.end = early_end::shutdown_read;
        auto const got = here.site.send(upload("/order/1"));
        CPPUNIT_ASSERT_EQUAL(200, got.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"the whole"}, got.body);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(early_response_test);
