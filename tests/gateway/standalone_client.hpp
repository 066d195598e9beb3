#ifndef CAPERPATH_TESTS_GATEWAY_STANDALONE_CLIENT_HPP
#define CAPERPATH_TESTS_GATEWAY_STANDALONE_CLIENT_HPP

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

/// A caller whose connection does not depend on the router's event loop: it
/// reads what the router has handed to the kernel, which a caller receives even
/// after the process has ended.
class standalone_client
{
public:
    /// Connects to `port` with a kernel receive buffer of about
    /// `receive_buffer` bytes; 0: the default of the system.
    /// @throws boost::system::system_error if nothing listens at `port`.
    explicit standalone_client(std::uint16_t port, int receive_buffer = 0);

    void send(std::string const& bytes);

    /// Returns the first response, as far as it has arrived. Does not wait.
    /// Reads about `max_bytes` bytes; 0: all.
    received_response received(std::size_t max_bytes = 0);

private:
    boost::asio::io_context client_loop;
    tcp::socket socket;
    boost::beast::flat_buffer unparsed;
    boost::beast::http::response_parser<boost::beast::http::string_body> parser;
};

} // namespace caperpath::gateway

#endif
