#include "gateway/plain_caller.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace caperpath::gateway
{

namespace
{

constexpr std::size_t read_size = 65'536;

} // namespace

plain_caller::plain_caller(std::uint16_t port) : socket{this->own}
{
    this->socket.connect({asio::ip::make_address("127.0.0.1"), port});
    this->socket.non_blocking(true);
}

void plain_caller::send(std::string const& bytes)
{
    asio::write(this->socket, asio::buffer(bytes));
}

got_answer plain_caller::received()
{
    got_answer got;
    boost::system::error_code fault;
    while (!fault)
    {
        auto const size =
            this->socket.read_some(this->arrived.prepare(read_size), fault);
        this->arrived.commit(size);
    }
    got.closed = fault != asio::error::would_block;
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    while (this->arrived.size() > 0 && !parser.is_done())
    {
        boost::system::error_code incomplete;
        auto const used = parser.put(this->arrived.data(), incomplete);
        this->arrived.consume(used);
        if (used == 0)
        {
            break;
        }
    }
    read_parsed(parser, got);
    return got;
}

} // namespace caperpath::gateway
