#include "gateway/http_client.hpp"

#include "gateway/message_parser.hpp"
#include "gateway/run_after.hpp"

#include <caperpath/base/stall_detector.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <chrono>
#include <utility>

namespace caperpath::gateway
{

namespace
{

constexpr std::uint64_t max_response_bytes = 64ULL * 1024 * 1024;
constexpr std::size_t max_idle_connections = 4;
constexpr std::size_t read_size = 65'536;

/// Probes after a second without bytes; the peer has a second to respond.
constexpr int probe_after_s = 1;
constexpr int probe_timeout_s = 1;
constexpr int probe_count = 1;
static_assert((probe_after_s + probe_timeout_s * probe_count) * 1'000 <=
              longest_unnoticed_silence.ms);

} // namespace

void set_keepalive_probes(asio::ip::tcp::socket& socket, bool on)
{
    auto const set = [&socket](int level, int name, int value)
    {
        // If an option cannot be set, the timeout of the whole call still
        // applies.
        static_cast<void>(setsockopt(socket.native_handle(), level, name,
                                     &value, sizeof value));
    };
    set(SOL_SOCKET, SO_KEEPALIVE, on ? 1 : 0);
    if (on)
    {
        set(IPPROTO_TCP, TCP_KEEPIDLE, probe_after_s);
        set(IPPROTO_TCP, TCP_KEEPINTVL, probe_timeout_s);
        set(IPPROTO_TCP, TCP_KEEPCNT, probe_count);
    }
}

boost::asio::ip::tcp::endpoint endpoint_of(std::string const& address)
{
    auto const colon = address.rfind(':');
    return {asio::ip::make_address_v4(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

http_client::http_client(asio::any_io_executor executor,
                         std::string const& address)
    : executor{std::move(executor)}, peer{endpoint_of(address)}
{
}

void http_client::send(http::request<http::string_body> request,
                       call_timeouts limits,
                       std::function<void(call_result)> done)
{
    asio::co_spawn(this->executor, this->exchange(std::move(request), limits),
                   [done = std::move(done)](std::exception_ptr const& fault,
                                            call_result result)
                   {
                       if (fault)
                       {
                           result.sent = true;
                           result.detail = "failed with an exception";
                       }
                       done(std::move(result));
                   });
}

void http_client::send_with_adaptive_timeout(
    http::request<http::string_body> request, duration longest,
    std::function<void(call_result)> done)
{
    this->send(
        std::move(request),
        {next_call_timeout(this->timeout_estimate, longest), longest},
        [this, began = this->now.now(), done = std::move(done)](auto result)
        {
            this->timeout_estimate =
                result.response ? after_response(this->timeout_estimate,
                                                 this->now.now() - began)
                                : after_timeout(this->timeout_estimate);
            done(std::move(result));
        });
}

http_client::stream_ptr http_client::take()
{
    while (!this->idle.empty())
    {
        auto stream = std::move(this->idle.back());
        this->idle.pop_back();
        // Discards connections with unread input: it would be the response to
        // another call, or the end of the connection.
        boost::system::error_code fault;
        char byte{};
        stream->socket().non_blocking(true, fault);
        stream->socket().receive(asio::buffer(&byte, 1),
                                 asio::socket_base::message_peek, fault);
        if (fault == asio::error::would_block)
        {
            return stream;
        }
    }
    return nullptr;
}

asio::awaitable<call_result>
http_client::exchange(http::request<http::string_body> request,
                      call_timeouts limits)
{
    call_result result;
    boost::system::error_code fault;
    auto const began = this->now.now();
    auto stream = this->take();
    auto const is_held = limits.long_poll > duration{0};
    if (!stream)
    {
        stream = std::make_unique<boost::beast::tcp_stream>(this->executor);
        stream->expires_after(to_chrono(limits.first_byte - limits.long_poll));
        co_await stream->async_connect(
            this->peer, asio::redirect_error(asio::use_awaitable, fault));
        if (fault)
        {
            result.detail = "connect: " + fault.message();
            co_return result;
        }
        stream->socket().set_option(asio::ip::tcp::no_delay{true}, fault);
    }
    if (is_held)
    {
        set_keepalive_probes(stream->socket(), true);
    }
    stream->expires_after(to_chrono(limits.first_byte));
    result.sent = true;
    co_await http::async_write(
        *stream, request, asio::redirect_error(asio::use_awaitable, fault));
    if (fault)
    {
        result.detail = "send: " + fault.message();
        co_return result;
    }
    auto reusable = false;
    co_await this->read_response(*stream, began, limits.stall_timeout, result,
                                 reusable);
    stream->expires_never();
    if (reusable && this->idle.size() < max_idle_connections)
    {
        if (is_held)
        {
            set_keepalive_probes(stream->socket(), false);
        }
        this->idle.push_back(std::move(stream));
    }
    co_return result;
}

asio::awaitable<void>
http_client::read_response(boost::beast::tcp_stream& stream, instant began,
                           duration stall, call_result& result, bool& reusable)
{
    auto& cost = result.cost;
    boost::system::error_code fault;
    boost::beast::flat_buffer buffer;
    response_parser<http::string_body> parser;
    parser.body_limit(max_response_bytes);
    stall_detector watch;
    while (!fault && !parser.is_done())
    {
        auto const size = co_await http::async_read_some(
            stream, buffer, parser,
            asio::redirect_error(asio::use_awaitable, fault));
        auto const at = this->now.now();
        cost.total_time = at - began;
        if (cost.bytes == 0)
        {
            cost.time_to_first_byte = cost.total_time;
            cost.first_byte_at = at;
            watch = start_stall_detector(stall, at);
            // With the small default buffer each 512 bytes would take one
            // system call.
            buffer.reserve(parser.is_done() ? 0 : read_size);
        }
        cost.bytes += static_cast<std::int64_t>(size);
        watch = arrived(watch, size, at);
        stream.expires_after(to_chrono(stall_deadline(watch) - at));
    }
    if (fault)
    {
        auto const framing = parser.fault();
        auto const why =
            framing ? std::string{to_text(*framing)} : fault.message();
        result.detail = "read: " + why + " after " +
                        std::to_string(cost.bytes) + " bytes in " +
                        std::to_string(cost.total_time.ms) + " ms";
        co_return;
    }
    reusable = parser.keep_alive() && buffer.size() == 0;
    result.response = parser.release();
}

} // namespace caperpath::gateway
