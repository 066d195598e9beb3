#include "gateway/standalone_client.hpp"

#include <boost/asio/write.hpp>
namespace caperpath::gateway
{

namespace
{

constexpr std::size_t read_size = 65'536;
constexpr std::uint64_t max_response_size = 64'000'000;

} // namespace

standalone_client::standalone_client(std::uint16_t port, int receive_buffer)
    : socket{this->client_loop}
{
    this->socket.open(tcp::v4());
    if (receive_buffer > 0)
    {
        // TCP negotiates the window scale when it connects.
        this->socket.set_option(
            asio::socket_base::receive_buffer_size{receive_buffer});
    }
    this->socket.connect({asio::ip::make_address("127.0.0.1"), port});
    this->socket.non_blocking(true);
    this->parser.eager(true);
    this->parser.body_limit(max_response_size);
}

void standalone_client::send(std::string const& bytes)
{
    asio::write(this->socket, asio::buffer(bytes));
}

received_response standalone_client::received(std::size_t max_bytes)
{
    received_response got;
    boost::system::error_code fault;
    std::size_t read = 0;
    while (!fault && (max_bytes == 0 || read < max_bytes))
    {
        auto const size =
            this->socket.read_some(this->unparsed.prepare(read_size), fault);
        this->unparsed.commit(size);
        read += size;
    }
    got.closed = fault && fault != asio::error::would_block;
    while (this->unparsed.size() > 0 && !this->parser.is_done())
    {
        boost::system::error_code incomplete;
        auto const used = this->parser.put(this->unparsed.data(), incomplete);
        this->unparsed.consume(used);
        if (used == 0)
        {
            break;
        }
    }
    read_parsed(this->parser, got);
    return got;
}

} // namespace caperpath::gateway
