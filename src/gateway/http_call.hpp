#ifndef CAPERPATH_SRC_GATEWAY_HTTP_CALL_HPP
#define CAPERPATH_SRC_GATEWAY_HTTP_CALL_HPP

#include <caperpath/base/call_patience.hpp>
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

/// What came of one call.
struct call_result
{
    bool sent{false}; ///< some of it may have arrived
    std::optional<http::response<http::string_body>> answer;
    std::string detail; ///< why there is no answer
    store::read_cost cost{};
};

/// How long a call may take: `answer` to connect, and `answer` again until its
/// answer begins. The rest takes as long as its bytes need, in stretches of
/// `stall` that each bring `least_progress`.
struct call_limits
{
    duration answer{};
    duration stall{};
    /// The part of `answer` for which the peer holds the call on purpose. It is
    /// not spent on connecting, and the kernel probes the connection meanwhile:
    /// one that went silent ends the call within `longest_unnoticed_silence`.
    duration held{};

    friend bool operator==(call_limits const&, call_limits const&) = default;
};

inline constexpr duration longest_unnoticed_silence{2'000};

/// Makes the kernel probe a connection on which nothing comes, or stop it.
/// Thread safe for different sockets.
void probe_silence(asio::ip::tcp::socket& socket, bool on);

/// HTTP/1.1 calls to one peer over a few kept connections. A call is sent
/// at most once. Loop thread only; callbacks come later, never from within
/// `send`. The caller outlives all calls.
class http_caller
{
public:
    /// @pre `address` is "IP:port".
    http_caller(asio::any_io_executor executor, std::string const& address);

    /// The answer must begin within `limits.answer`, and then go on. The
    /// connection of a call without a whole answer is closed, since the answer
    /// may come late and would be taken for that of the next call.
    void send(http::request<http::string_body> request, call_limits limits,
              std::function<void(call_result)> done);

    /// The same for a call that is answered as soon as can be: the wait follows
    /// what such answers took of late, and is `longest` at most. So is a stall.
    void send_short(http::request<http::string_body> request, duration longest,
                    std::function<void(call_result)> done);

private:
    using stream_ptr = std::unique_ptr<boost::beast::tcp_stream>;

    asio::awaitable<call_result>
    exchange(http::request<http::string_body> request, call_limits limits);
    stream_ptr take();
    asio::awaitable<void> read_answer(boost::beast::tcp_stream& stream,
                                      instant began, duration stall,
                                      call_result& result, bool& reusable);

    asio::any_io_executor executor;
    boost::asio::ip::tcp::endpoint peer;
    std::vector<stream_ptr> idle;
    call_patience patience;
    caperpath::clock now{caperpath::clock::monotonic()};
};

/// The address "IP:port" as an endpoint. @pre `is_address(address)`.
boost::asio::ip::tcp::endpoint endpoint_of(std::string const& address);

} // namespace caperpath::gateway

#endif
