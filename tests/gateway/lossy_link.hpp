#ifndef CAPERPATH_TESTS_GATEWAY_LOSSY_LINK_HPP
#define CAPERPATH_TESTS_GATEWAY_LOSSY_LINK_HPP

#include "gateway/http_client.hpp"
#include "gateway/unreachable_server.hpp"

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace caperpath::gateway
{

/// A proxy whose connections can lose all packets for a while, in both
/// directions. Loop thread only; must outlive the loop's last run.
class lossy_link
{
public:
    lossy_link(boost::asio::io_context& loop, std::string const& target)
        : loop{loop}, target{endpoint_of(target)},
          acceptor{loop, {boost::asio::ip::make_address("127.0.0.1"), 0}}
    {
        this->accept();
    }

    std::string address() const
    {
        return "127.0.0.1:" +
               std::to_string(this->acceptor.local_endpoint().port());
    }

    /// Makes the open connections lose all packets.
    void drop()
    {
        this->for_open(drop_packets);
    }

    void restore()
    {
        this->for_open(accept_packets);
    }

private:
    using socket_ptr = std::shared_ptr<tcp::socket>;

    void for_open(std::function<void(int)> const& change)
    {
        for (auto const& each : this->sockets)
        {
            if (each->is_open())
            {
                change(each->native_handle());
            }
        }
    }

    void accept()
    {
        this->acceptor.async_accept(
            [this](boost::system::error_code fault, tcp::socket from)
            {
                if (fault)
                {
                    return;
                }
                auto const near =
                    std::make_shared<tcp::socket>(std::move(from));
                auto const far = std::make_shared<tcp::socket>(this->loop);
                this->sockets.push_back(near);
                this->sockets.push_back(far);
                boost::asio::co_spawn(this->loop, this->connect(near, far),
                                      boost::asio::detached);
                this->accept();
            });
    }

    boost::asio::awaitable<void> connect(socket_ptr near, socket_ptr far)
    {
        boost::system::error_code fault;
        co_await far->async_connect(
            this->target,
            boost::asio::redirect_error(boost::asio::use_awaitable, fault));
        boost::asio::co_spawn(this->loop, move_bytes(near, far),
                              boost::asio::detached);
        co_await move_bytes(far, near);
    }

    static boost::asio::awaitable<void> move_bytes(socket_ptr from,
                                                   socket_ptr to)
    {
        constexpr std::size_t size = 4'096;
        std::array<char, size> bytes{};
        boost::system::error_code fault;
        while (!fault)
        {
            auto const read = co_await from->async_read_some(
                boost::asio::buffer(bytes),
                boost::asio::redirect_error(boost::asio::use_awaitable, fault));
            boost::system::error_code ignored; // noticed by the other direction
            co_await boost::asio::async_write(
                *to, boost::asio::buffer(bytes, read),
                boost::asio::redirect_error(boost::asio::use_awaitable,
                                            ignored));
        }
        boost::system::error_code ignored; // it may be closed
        from->close(ignored);
        to->close(ignored);
    }

    boost::asio::io_context& loop;
    tcp::endpoint target;
    tcp::acceptor acceptor;
    std::vector<socket_ptr> sockets;
};

} // namespace caperpath::gateway

#endif
