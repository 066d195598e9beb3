#ifndef CAPERPATH_TESTS_GATEWAY_FAKE_SERVER_HPP
#define CAPERPATH_TESTS_GATEWAY_FAKE_SERVER_HPP

#include "gateway/connection.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace caperpath::gateway
{

/// What a fake server does with one request.
struct script
{
    std::vector<std::string> pieces; ///< raw bytes, sent a few ms apart
    enum class ending
    {
        keep,   ///< keep the connection open
        close,  ///< close the connection
        reset,  ///< reset the connection
        silent, ///< send no more and keep the connection open
        crash,  ///< reset all connections and accept no more
        exit    ///< close all connections in order and accept no more
    };
    ending after{ending::keep};
    /// Sent again and again after `pieces`, until the connection ends.
    std::string endless{};
    /// If set, the last piece is sent once this returns true.
    std::function<bool()> may_complete{};
};

/// A backend server that responds by a script. Loop thread only.
class fake_server
{
public:
    using request =
        boost::beast::http::request<boost::beast::http::string_body>;
    using responder = std::function<script(request const&)>;

    fake_server(boost::asio::io_context& loop, responder respond);

    std::string address() const;

    /// Ends all connections and accepts no more, as a process that crashes or
    /// exits. Without `reset` they are closed in order, as the kernel does
    /// unless there are unread bytes.
    void crash(bool reset = true);

    /// `closed_by_router`, with connections of silent scripts whose end the
    /// loop has not handled yet.
    int closed_by_router_now() const;

    std::vector<request> requests; ///< in the order of arrival
    int connections{};
    int closed_by_router{}; ///< as far as the loop has handled it
    std::size_t bytes_written{};
    bool crashed{false};

private:
    void accept();
    boost::asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket);

    boost::asio::io_context& loop;
    responder respond;
    tcp::acceptor acceptor;
    std::vector<std::weak_ptr<tcp::socket>> open;
    std::vector<std::weak_ptr<tcp::socket>> silent; ///< by their scripts
};

/// Returns a complete response with the headers that servers send.
std::string complete_response(fake_server::request const& to, int status,
                              std::string const& body,
                              std::string const& headers = "");

/// Returns the head of a chunked stream response.
std::string stream_head(fake_server::request const& to);

/// Returns `bytes` as one chunk.
std::string chunk_of(std::string const& bytes);

} // namespace caperpath::gateway

#endif
