#include "capacity/load_farm.hpp"

#include <boost/asio.hpp>

#include <atomic>
#include <list>
#include <thread>
#include <utility>

namespace caperpath::bench
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

std::string answer()
{
    std::string const body =
        R"({"age_ms":500,"cache_capacity":100000,"cache_tokens":81234,)"
        R"("leaving":false,"queued":0,"running":37,"slots":64})";
    return "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " +
           std::to_string(body.size()) +
           "\r\nContent-Type: application/json\r\n\r\n" + body;
}

} // namespace

struct load_farm::parts
{
    asio::io_context context;
    std::list<tcp::acceptor> acceptors;
    std::vector<std::string> addresses;
    std::atomic<std::int64_t> polls{0};
    std::atomic<std::int64_t> received{0};
    std::atomic<std::int64_t> sent{0};
    std::string const text{answer()};
    std::thread thread;

    void listen()
    {
        tcp::endpoint const any{asio::ip::address_v4::loopback(), 0};
        auto& acceptor = this->acceptors.emplace_back(this->context, any);
        this->addresses.push_back(
            "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
        this->accept(acceptor);
    }

    void accept(tcp::acceptor& from)
    {
        from.async_accept(
            [this, &from](boost::system::error_code failed, tcp::socket socket)
            {
                if (failed)
                {
                    return;
                }
                this->answer_one(
                    std::make_shared<tcp::socket>(std::move(socket)));
                this->accept(from);
            });
    }

    void answer_one(std::shared_ptr<tcp::socket> const& socket)
    {
        auto const request = std::make_shared<std::string>();
        asio::async_read_until(
            *socket, asio::dynamic_buffer(*request), "\r\n\r\n",
            [this, socket, request](boost::system::error_code failed,
                                    std::size_t size)
            {
                if (failed)
                {
                    return;
                }
                this->received += static_cast<std::int64_t>(size);
                asio::async_write(*socket, asio::buffer(this->text),
                                  [this, socket](boost::system::error_code,
                                                 std::size_t written)
                                  {
                                      this->sent +=
                                          static_cast<std::int64_t>(written);
                                      ++this->polls;
                                  });
            });
    }
};

load_farm::load_farm(std::size_t count) : inside{std::make_unique<parts>()}
{
    for (std::size_t i = 0; i < count; ++i)
    {
        this->inside->listen();
    }
    this->inside->thread = std::thread{[this]
                                       {
                                           this->inside->context.run();
                                       }};
}

load_farm::~load_farm()
{
    this->inside->context.stop();
    this->inside->thread.join();
}

std::vector<std::string> const& load_farm::addresses() const
{
    return this->inside->addresses;
}

farm_counts load_farm::counts() const
{
    return {this->inside->polls.load(), this->inside->received.load(),
            this->inside->sent.load()};
}

} // namespace caperpath::bench
