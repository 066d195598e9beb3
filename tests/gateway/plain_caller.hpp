#ifndef CAPERPATH_TESTS_GATEWAY_PLAIN_CALLER_HPP
#define CAPERPATH_TESTS_GATEWAY_PLAIN_CALLER_HPP

#include "gateway/fleet_site.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <string>

namespace caperpath::gateway
{

/// A caller whose connection does not depend on the router's event loop: what
/// it reads is what the router has handed to the kernel, as it is left to a
/// caller when the process is gone.
class plain_caller
{
public:
    /// @throws boost::system::system_error if nobody listens at `port`.
    /// `receive_buffer` bytes, about, wait in the kernel for this caller to
    /// read; 0: the system's default.
    explicit plain_caller(std::uint16_t port, int receive_buffer = 0);

    void send(std::string const& bytes);

    /// The first answer, as far as it has arrived by now. Does not wait.
    /// Reads about `most` bytes; 0: all.
    got_answer received(std::size_t most = 0);

private:
    boost::asio::io_context own;
    tcp::socket socket;
    boost::beast::flat_buffer arrived;
    boost::beast::http::response_parser<boost::beast::http::string_body> parser;
};

} // namespace caperpath::gateway

#endif
