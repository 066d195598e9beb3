#include "gateway/gateway.hpp"
#include "gateway/http_client.hpp"
#include "gateway/message_parser.hpp"
#include "gateway/relays/relay_session.hpp"
#include "gateway/requests/session.hpp"
#include "gateway/run_after.hpp"
#include "gateway/spawn.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <chrono>
#include <exception>
#include <memory>
#include <utility>
#include <variant>

/// Accepts connections of callers, other routers, the balancer and metrics
/// clients.
namespace caperpath::gateway
{

namespace
{

constexpr duration accept_pause{100};
constexpr std::chrono::seconds status_timeout{5};
constexpr int backlog = 1'024;
/// Bounds what one turn of the event loop accepts, so that connections in use
/// are served as well. With one at a time, a late loop would take as many turns
/// as there are new connections, and serve the oldest of them, whose callers
/// have left.
constexpr int accepts_per_turn = 64;

} // namespace

result<void> gateway_server::listen(tcp::acceptor& acceptor,
                                    std::string const& address)
{
    boost::system::error_code fault;
    auto const local = endpoint_of(address);
    acceptor.open(local.protocol(), fault);
    acceptor.set_option(tcp::acceptor::reuse_address{true}, fault);
    acceptor.bind(local, fault);
    if (!fault)
    {
        acceptor.listen(backlog, fault);
    }
    if (!fault)
    {
        acceptor.non_blocking(true, fault);
    }
    if (fault)
    {
        return fail(
            {error_kind::unavailable, "listen", address, fault.message()});
    }
    return {};
}

std::function<void(tcp::socket)> gateway_server::serve_callers()
{
    return [this](tcp::socket socket)
    {
        spawn(this->shared.loop, serve_caller(this->shared, std::move(socket)),
              "serve_caller", this->shared.log);
    };
}

std::function<void(tcp::socket)> gateway_server::serve_routers()
{
    return [this](tcp::socket socket)
    {
        spawn(this->shared.loop, serve_relay(this->shared, std::move(socket)),
              "serve_relay", this->shared.log);
    };
}

void gateway_server::accept_callers()
{
    this->accept(this->callers, this->serve_callers());
}

void gateway_server::listen_to_routers()
{
    auto const& address = this->shared.peer_address;
    auto const listening = value_or_error(
        [&]() -> result<bool>
        {
            BOOST_LEAF_CHECK(this->listen(this->routers, address));
            return true;
        });
    if (auto const* fault = std::get_if<error>(&listening))
    {
        this->shared.log.write_error(*fault);
        return;
    }
    this->accept_relayed();
}

void gateway_server::accept_relayed()
{
    this->accept(this->routers, this->serve_routers());
}

/// A connection that cannot be served must not end the accepting.
void gateway_server::begin_session(
    std::function<void(tcp::socket)> const& serve, tcp::socket socket)
{
    try
    {
        serve(std::move(socket));
    }
    catch (...)
    {
        this->shared.log.write_exception("accept", std::current_exception());
    }
}

boost::system::error_code
gateway_server::accept_queued(tcp::acceptor& acceptor,
                              std::function<void(tcp::socket)> const& serve,
                              int most)
{
    boost::system::error_code fault;
    for (auto i = 0; i < most && !fault; ++i)
    {
        tcp::socket socket{this->loop};
        acceptor.accept(socket, fault);
        if (!fault)
        {
            this->begin_session(serve, std::move(socket));
        }
    }
    if (fault == asio::error::would_block)
    {
        fault.clear();
    }
    return fault;
}

void gateway_server::accept(tcp::acceptor& acceptor,
                            std::function<void(tcp::socket)> serve)
{
    acceptor.async_wait(
        tcp::acceptor::wait_read,
        [this, &acceptor,
         serve = std::move(serve)](boost::system::error_code fault) mutable
        {
            if (fault == asio::error::operation_aborted)
            {
                return;
            }
            if (!fault)
            {
                fault = this->accept_queued(acceptor, serve, accepts_per_turn);
            }
            this->accept_after(fault,
                               [this, &acceptor, serve = std::move(serve)]
                               { this->accept(acceptor, serve); });
        });
}

/// Pauses after an error. Otherwise a process without free descriptors would
/// retry in a busy loop, and requests whose end would free descriptors would
/// not proceed.
void gateway_server::accept_after(boost::system::error_code fault,
                                  std::function<void()> accept)
{
    if (!fault)
    {
        accept();
        return;
    }
    this->shared.log.write_error({error_kind::unavailable, "accept",
                                  this->shared.settings.callers,
                                  fault.message()});
    auto const pause = std::make_shared<asio::steady_timer>(this->loop);
    run_after(*pause, accept_pause,
              [pause, accept = std::move(accept)] { accept(); });
}

void gateway_server::accept_status_clients(tcp::acceptor& acceptor)
{
    this->accept(acceptor,
                 [this](tcp::socket socket)
                 {
                     spawn(this->shared.loop,
                           this->serve_status(std::move(socket)),
                           "serve_status", this->shared.log);
                 });
}

/// Serves the readiness check of the balancer and the metrics page.
asio::awaitable<void> gateway_server::serve_status(tcp::socket socket)
{
    auto const is_metrics =
        socket.local_endpoint().port() == this->metrics.local_endpoint().port();
    boost::beast::tcp_stream stream{std::move(socket)};
    boost::beast::flat_buffer buffer;
    boost::system::error_code fault;
    auto keep_open = true;
    while (keep_open)
    {
        request_parser<http::string_body> parser;
        stream.expires_after(status_timeout);
        co_await http::async_read(
            stream, buffer, parser,
            asio::redirect_error(asio::use_awaitable, fault));
        if (fault)
        {
            co_return;
        }
        auto const& request = parser.get();
        auto const status = is_metrics || this->ready()
                                ? http::status::ok
                                : http::status::service_unavailable;
        http::response<http::string_body> response{status, request.version()};
        response.set(http::field::content_type, "text/plain");
        if (is_metrics)
        {
            response.body() = this->shared.metrics.render();
        }
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        co_await http::async_write(
            stream, response, asio::redirect_error(asio::use_awaitable, fault));
        keep_open = !fault && response.keep_alive();
    }
}

} // namespace caperpath::gateway
