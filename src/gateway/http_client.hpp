#ifndef CAPERPATH_SRC_GATEWAY_HTTP_CLIENT_HPP
#define CAPERPATH_SRC_GATEWAY_HTTP_CLIENT_HPP

#include <caperpath/base/adaptive_timeout.hpp>
#include <caperpath/base/clock.hpp>
#include <caperpath/base/error.hpp>
#include <caperpath/store/async_port.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace caperpath::gateway
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// The result of one call.
struct call_result
{
    bool sent{false}; ///< the peer may have received some of it
    std::optional<http::response<http::string_body>> response;
    std::string detail; ///< why there is no response
    store::read_cost cost{};
};

/// Timeouts of a call: `first_byte` to connect, and `first_byte` again until
/// the response begins. The rest may take as long as it makes progress: each
/// period of `stall_timeout` must bring `least_progress`.
struct call_timeouts
{
    duration first_byte{};
    duration stall_timeout{};
    /// The part of `first_byte` for which the peer holds the call on purpose
    /// (long polling). It does not apply to connecting. While the call is held
    /// the kernel probes the connection; if it goes silent, the call ends
    /// within `longest_unnoticed_silence`.
    duration long_poll{};

    friend bool operator==(call_timeouts const&,
                           call_timeouts const&) = default;
};

inline constexpr duration longest_unnoticed_silence{2'000};

/// Turns keep-alive probes of an idle connection on or off. Thread safe for
/// different sockets.
void set_keepalive_probes(asio::ip::tcp::socket& socket, bool on);

/// An HTTP/1.1 client for one peer that keeps a few connections open. A call is
/// sent at most once. Loop thread only; callbacks run later, never from within
/// `send`. The client must outlive all calls.
class http_client
{
public:
    /// @pre `address` is "IP:port".
    http_client(asio::any_io_executor executor, std::string const& address);

    /// Sends `request` within `limits`. The connection of a call without a
    /// complete response is closed, since a late response would be taken for
    /// that of the next call.
    void send(http::request<http::string_body> request, call_timeouts limits,
              std::function<void(call_result)> done);

    /// The same for a call to which the peer responds immediately: the timeout
    /// adapts to recent response times, up to `longest`. The stall timeout is
    /// `longest`.
    void send_with_adaptive_timeout(http::request<http::string_body> request,
                                    duration longest,
                                    std::function<void(call_result)> done);

private:
    using stream_ptr = std::unique_ptr<boost::beast::tcp_stream>;

    asio::awaitable<call_result>
    exchange(http::request<http::string_body> request, call_timeouts limits);
    stream_ptr take();
    asio::awaitable<void> read_response(boost::beast::tcp_stream& stream,
                                        instant began, duration stall,
                                        call_result& result, bool& reusable);

    asio::any_io_executor executor;
    boost::asio::ip::tcp::endpoint peer;
    std::vector<stream_ptr> idle;
    adaptive_timeout timeout_estimate;
    caperpath::clock now{caperpath::clock::monotonic()};
};

/// Converts "IP:port" to an endpoint. @pre `is_address(address)`.
boost::asio::ip::tcp::endpoint endpoint_of(std::string const& address);

} // namespace caperpath::gateway

#endif
