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

/// What a fake server does with one request, piece by piece.
struct script
{
    std::vector<std::string> pieces; ///< raw bytes, a few ms apart
    enum class end
    {
        keep,   ///< the connection stays open
        close,  ///< closed in order
        reset,  ///< reset
        silent, ///< nothing more, and it stays open
        crash   ///< the process ends: all connections are reset, none is taken
    };
    end after{end::keep};
};

/// A backend server that answers by a script. Loop thread only.
class fake_server
{
public:
    using request =
        boost::beast::http::request<boost::beast::http::string_body>;
    using answerer = std::function<script(request const&)>;

    fake_server(boost::asio::io_context& loop, answerer answer);

    std::string address() const;

    std::vector<request> requests; ///< as they came
    int connections{};
    int closed_by_router{};
    bool crashed{false};

private:
    void accept();
    void crash();
    boost::asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket);

    boost::asio::io_context& loop;
    answerer answer;
    tcp::acceptor acceptor;
    std::vector<std::weak_ptr<tcp::socket>> open;
};

/// A whole answer with the headers that servers send.
std::string whole_answer(fake_server::request const& to, int status,
                         std::string const& body,
                         std::string const& headers = "");

/// The head of a stream's answer, in chunks.
std::string stream_head(fake_server::request const& to);

std::string chunk_of(std::string const& bytes);

} // namespace caperpath::gateway

#endif
