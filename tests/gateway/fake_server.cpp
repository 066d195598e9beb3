#include "gateway/fake_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <sstream>
#include <utility>

namespace caperpath::gateway
{

namespace
{

constexpr std::chrono::milliseconds piece_pause{2};

} // namespace

fake_server::fake_server(boost::asio::io_context& loop, responder respond)
    : loop{loop}, respond{std::move(respond)},
      acceptor{loop, {boost::asio::ip::make_address("127.0.0.1"), 0}}
{
    this->accept();
}

std::string fake_server::address() const
{
    return "127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
}

void fake_server::accept()
{
    this->acceptor.async_accept(
        [this](boost::system::error_code fault, tcp::socket socket)
        {
            if (fault)
            {
                return;
            }
            this->connections += 1;
            auto const one = std::make_shared<tcp::socket>(std::move(socket));
            this->open.push_back(one);
            boost::asio::co_spawn(this->loop, this->serve(one),
                                  boost::asio::detached);
            this->accept();
        });
}

void fake_server::crash(bool reset)
{
    this->crashed = true;
    boost::system::error_code fault;
    this->acceptor.close(fault);
    for (auto const& one : this->open)
    {
        if (auto const socket = one.lock())
        {
            socket->set_option(asio::socket_base::linger{reset, 0}, fault);
            socket->close(fault);
        }
    }
}

int fake_server::closed_by_router_now() const
{
    auto const has_ended = [](std::weak_ptr<tcp::socket> const& one)
    {
        auto const socket = one.lock();
        char next{};
        auto const got = socket ? recv(socket->native_handle(), &next,
                                       sizeof next, MSG_PEEK | MSG_DONTWAIT)
                                : 1;
        return got == 0 || (got < 0 && errno != EAGAIN);
    };
    return this->closed_by_router +
           static_cast<int>(std::count_if(this->silent.begin(),
                                          this->silent.end(), has_ended));
}

boost::asio::awaitable<void>
fake_server::serve(std::shared_ptr<tcp::socket> shared_socket)
{
    auto& socket = *shared_socket;
    boost::beast::flat_buffer buffer;
    boost::asio::steady_timer timer{this->loop};
    while (true)
    {
        boost::system::error_code fault;
        request got;
        co_await boost::beast::http::async_read(
            socket, buffer, got,
            asio::redirect_error(asio::use_awaitable, fault));
        if (fault)
        {
            co_return;
        }
        this->requests.push_back(got);
        auto const reply = this->respond(got);
        for (auto const& piece : reply.pieces)
        {
            while (&piece == &reply.pieces.back() && reply.may_complete &&
                   !reply.may_complete())
            {
                timer.expires_after(piece_pause);
                co_await timer.async_wait(
                    asio::redirect_error(asio::use_awaitable, fault));
            }
            co_await asio::async_write(
                socket, asio::buffer(piece),
                asio::redirect_error(asio::use_awaitable, fault));
            timer.expires_after(piece_pause);
            co_await timer.async_wait(
                asio::redirect_error(asio::use_awaitable, fault));
        }
        while (!reply.endless.empty() && !fault)
        {
            this->bytes_written += co_await asio::async_write(
                socket, asio::buffer(reply.endless),
                asio::redirect_error(asio::use_awaitable, fault));
        }
        if (!reply.endless.empty())
        {
            this->closed_by_router += 1;
            co_return;
        }
        if (reply.after == script::ending::reset)
        {
            socket.set_option(asio::socket_base::linger{true, 0}, fault);
            socket.close(fault); // the destructor sends no reset
        }
        if (reply.after == script::ending::crash)
        {
            this->crash();
        }
        if (reply.after == script::ending::exit)
        {
            this->crash(false);
        }
        if (reply.after == script::ending::silent)
        {
            this->silent.push_back(shared_socket);
            char byte{};
            co_await socket.async_read_some(
                asio::buffer(&byte, 1),
                asio::redirect_error(asio::use_awaitable, fault));
            this->closed_by_router += fault ? 1 : 0;
        }
        if (reply.after != script::ending::keep)
        {
            co_return;
        }
    }
}

std::string complete_response(fake_server::request const& to, int status,
                              std::string const& body,
                              std::string const& headers)
{
    std::ostringstream text;
    text << "HTTP/1.1 " << status
         << " Status\r\nRequest-Id: " << to["Request-Id"]
         << "\r\nUpstream-Signature: s1\r\n"
         << headers << "Content-Length: " << body.size() << "\r\n\r\n"
         << body;
    return text.str();
}

std::string stream_head(fake_server::request const& to)
{
    std::ostringstream text;
    text << "HTTP/1.1 200 OK\r\nRequest-Id: " << to["Request-Id"]
         << "\r\nUpstream-Signature: s1\r\n"
         << "Content-Type: text/event-stream\r\n"
         << "Transfer-Encoding: chunked\r\n\r\n";
    return text.str();
}

std::string chunk_of(std::string const& bytes)
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

} // namespace caperpath::gateway
