#ifndef CAPERPATH_TESTS_GATEWAY_UNREACHABLE_SERVER_HPP
#define CAPERPATH_TESTS_GATEWAY_UNREACHABLE_SERVER_HPP

#include "gateway/fake_server.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <linux/filter.h>
#include <sys/socket.h>

#include <chrono>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>

namespace caperpath::gateway
{

/// Makes the kernel drop all packets that arrive at a socket: its peer gets no
/// acknowledgement.
inline void drop_packets(int handle)
{
    sock_filter drop_all{BPF_RET | BPF_K, 0, 0, 0};
    sock_fprog const filter{1, &drop_all};
    CPPUNIT_ASSERT_EQUAL(0, setsockopt(handle, SOL_SOCKET, SO_ATTACH_FILTER,
                                       &filter, sizeof filter));
}

/// Ends what `drop_packets` began.
inline void accept_packets(int handle)
{
    int const unused{};
    setsockopt(handle, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof unused);
}

/// What unreachable servers of a test do with the next requests. It counts down
/// in the order of their arrival.
struct unreachable_plan
{
    int resets{}; ///< requests whose connection is reset
    /// Requests after those within whose response all packets of the connection
    /// are dropped for some time. Later ones are served at once.
    int silences{std::numeric_limits<int>::max()};
    /// False: the server only sends nothing in that time.
    bool drops_packets{true};
    std::string first_event{"id: 1\ndata: a\n\n"};
};

/// A server whose machine drops all packets of a connection for some time
/// within a response of two events. Loop thread only; must outlive the loop's
/// last run, as the plan.
class unreachable_server
{
public:
    unreachable_server(boost::asio::io_context& loop,
                       std::chrono::milliseconds pause, unreachable_plan& plan)
        : loop{loop}, pause{pause}, plan{plan},
          acceptor{loop, {boost::asio::ip::make_address("127.0.0.1"), 0}}
    {
        this->accept();
    }

    std::string address() const
    {
        return "127.0.0.1:" +
               std::to_string(this->acceptor.local_endpoint().port());
    }

    /// The body of its responses.
    static std::string body(unreachable_plan const& plan)
    {
        return plan.first_event + last_event();
    }

    /// Makes new connections get no response, as if its machine were gone.
    void drop_connects()
    {
        drop_packets(this->acceptor.native_handle());
    }

    int requests{};

private:
    static std::string last_event()
    {
        return "id: 2\ndata: b\n\n";
    }

    void accept()
    {
        this->acceptor.async_accept(
            [this](boost::system::error_code fault, tcp::socket socket)
            {
                if (fault)
                {
                    return;
                }
                boost::asio::co_spawn(this->loop,
                                      this->serve(std::move(socket)),
                                      boost::asio::detached);
                this->accept();
            });
    }

    boost::asio::awaitable<void> serve(tcp::socket socket)
    {
        boost::system::error_code fault;
        auto const handled = [&fault]
        {
            return boost::asio::redirect_error(boost::asio::use_awaitable,
                                               fault);
        };
        boost::beast::flat_buffer buffer;
        fake_server::request got;
        co_await boost::beast::http::async_read(socket, buffer, got, handled());
        if (fault)
        {
            co_return;
        }
        this->requests += 1;
        if (this->plan.resets > 0)
        {
            this->plan.resets -= 1;
            socket.set_option(boost::asio::socket_base::linger{true, 0}, fault);
            socket.close(fault);
            co_return;
        }
        auto const begin = stream_head(got) + chunk_of(this->plan.first_event);
        co_await boost::asio::async_write(socket, boost::asio::buffer(begin),
                                          handled());
        boost::asio::steady_timer timer{this->loop,
                                        std::chrono::milliseconds{100}};
        co_await timer.async_wait(handled());
        if (this->plan.silences > 0)
        {
            this->plan.silences -= 1;
            if (this->plan.drops_packets)
            {
                drop_packets(socket.native_handle());
            }
            timer.expires_after(this->pause);
            co_await timer.async_wait(handled());
            accept_packets(socket.native_handle());
        }
        auto const end = chunk_of(last_event()) + chunk_of("");
        co_await boost::asio::async_write(socket, boost::asio::buffer(end),
                                          handled());
    }

    boost::asio::io_context& loop;
    std::chrono::milliseconds pause;
    unreachable_plan& plan;
    tcp::acceptor acceptor;
};

} // namespace caperpath::gateway

#endif
