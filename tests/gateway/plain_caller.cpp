#include "gateway/plain_caller.hpp"

#include <boost/asio/write.hpp>
namespace caperpath::gateway
{

namespace
{

constexpr std::size_t read_size = 65'536;
constexpr std::uint64_t largest_answer = 64'000'000;

} // namespace

plain_caller::plain_caller(std::uint16_t port, int receive_buffer)
    : socket{this->own}
{
    this->socket.open(tcp::v4());
    if (receive_buffer > 0)
    {
        // The window is agreed on when the connection is made.
        this->socket.set_option(
            asio::socket_base::receive_buffer_size{receive_buffer});
    }
    this->socket.connect({asio::ip::make_address("127.0.0.1"), port});
    this->socket.non_blocking(true);
    this->parser.eager(true);
    this->parser.body_limit(largest_answer);
}

void plain_caller::send(std::string const& bytes)
{
    asio::write(this->socket, asio::buffer(bytes));
}

got_answer plain_caller::received(std::size_t most)
{
    got_answer got;
    boost::system::error_code fault;
    std::size_t read = 0;
    while (!fault && (most == 0 || read < most))
    {
        auto const size =
            this->socket.read_some(this->arrived.prepare(read_size), fault);
        this->arrived.commit(size);
        read += size;
    }
    got.closed = fault && fault != asio::error::would_block;
    while (this->arrived.size() > 0 && !this->parser.is_done())
    {
        boost::system::error_code incomplete;
        auto const used = this->parser.put(this->arrived.data(), incomplete);
        this->arrived.consume(used);
        if (used == 0)
        {
            break;
        }
    }
    read_parsed(this->parser, got);
    return got;
}

} // namespace caperpath::gateway
