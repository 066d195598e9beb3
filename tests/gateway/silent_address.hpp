#ifndef CAPERPATH_TESTS_GATEWAY_SILENT_ADDRESS_HPP
#define CAPERPATH_TESTS_GATEWAY_SILENT_ADDRESS_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <vector>

namespace caperpath::gateway
{

/// An address whose accept queue is full, so that connects are neither accepted
/// nor rejected.
struct silent_address
{
    using tcp = boost::asio::ip::tcp;

    explicit silent_address(boost::asio::io_context& loop) : acceptor{loop}
    {
        this->acceptor.open(tcp::v4());
        this->acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
        this->acceptor.listen(0);
        auto const to = this->acceptor.local_endpoint();
        constexpr int more_than_its_queue = 4;
        for (int i = 0; i < more_than_its_queue; ++i)
        {
            this->queue.emplace_back(loop);
            this->queue.back().async_connect(to, [](auto const&) {});
        }
    }

    std::string text() const
    {
        return "127.0.0.1:" +
               std::to_string(this->acceptor.local_endpoint().port());
    }

    tcp::acceptor acceptor;
    std::vector<tcp::socket> queue;
};

} // namespace caperpath::gateway

#endif
