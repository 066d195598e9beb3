#ifndef CAPERPATH_TESTS_SOAK_SOAK_SERVERS_HPP
#define CAPERPATH_TESTS_SOAK_SOAK_SERVERS_HPP

#include "soak/soak_record.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace caperpath::soak
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

/// Backend server with short calls, streams of up to a few seconds, and
/// occasionally no response. Its behaviour depends only on the request's id.
/// Loop thread only.
class soak_server
{
public:
    using request = http::request<http::string_body>;

    soak_server(asio::io_context& loop, soak_record& record);
    ~soak_server();

    soak_server(soak_server const&) = delete;
    soak_server& operator=(soak_server const&) = delete;

    std::string address() const;

    /// Ends all connections and accepts none until `start`, as a process that
    /// is killed: its kernel closes them in order.
    void kill();
    void start();

    /// Called when a prompt with the part "bad" is about to get its response,
    /// instead of sending it.
    std::function<void()> on_fatal_part;

    /// Called with each request and the ms since its arrival. Returns the
    /// response that rejects it, or an empty string if it runs.
    std::function<std::string(request const&, std::int64_t)> on_request;

    std::string notices; ///< header lines of its responses

    /// It completes each response that its router reads.
    bool reliable{false};

    /// The number of requests that it runs.
    int running() const;

private:
    /// The head of a response, with `more` as its last lines.
    std::string head_of(std::string const& id, std::string const& more) const;

    asio::awaitable<void> accept();
    asio::awaitable<void> serve(tcp::socket socket);
    asio::awaitable<bool> answer(boost::beast::tcp_stream& stream,
                                 request const& got);
    asio::awaitable<bool> send_events(boost::beast::tcp_stream& stream,
                                      request const& got);

    soak_record& record;
    asio::io_context& loop;
    /// Shared with the connections' coroutines.
    std::shared_ptr<int> runs{std::make_shared<int>(0)};
    /// Bound but not listening, so that no other process can take the port.
    tcp::acceptor reserved;
    tcp::acceptor acceptor;
    /// Shared with the connections' coroutines, which may outlive this object.
    std::shared_ptr<std::set<boost::beast::tcp_stream*>> open{
        std::make_shared<std::set<boost::beast::tcp_stream*>>()};
};

/// Total number of events in the stream that responds to `got`.
int events_of(http::request<http::string_body> const& got);

/// True if the prompt has a part that crashes engines.
bool has_fatal_part(http::request<http::string_body> const& got);

/// Response body of a call.
std::string body_of(std::string const& id);

} // namespace caperpath::soak

#endif
