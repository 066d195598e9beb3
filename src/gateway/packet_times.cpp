#include "gateway/packet_times.hpp"

#include "gateway/connection.hpp"
#include "gateway/run_after.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace caperpath::gateway
{

namespace
{

/// Longer than the resolution of the kernel's times.
constexpr duration pause{30};
constexpr duration least_age{10};
constexpr std::chrono::milliseconds silence_timeout{1'000};

} // namespace

asio::awaitable<bool> kernel_tells_packet_times(asio::any_io_executor executor)
{
    boost::system::error_code fault;
    tcp::acceptor acceptor{executor};
    acceptor.open(tcp::v4(), fault);
    acceptor.bind({asio::ip::address_v4::loopback(), 0}, fault);
    acceptor.listen(1, fault);
    tcp::socket sender{executor};
    if (!fault)
    {
        sender.connect(acceptor.local_endpoint(), fault);
    }
    tcp::socket accepted{executor};
    if (!fault)
    {
        acceptor.accept(accepted, fault);
    }
    if (fault)
    {
        co_return false;
    }
    auto const receiver =
        std::make_shared<connection>(std::move(accepted), silence_timeout);
    sender.send(asio::buffer("x", 1), 0, fault);
    asio::steady_timer timer{executor, to_chrono(pause)};
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, fault));
    auto const age = receiver->since_last_packet();
    receiver->close();
    co_return age&&* age >= least_age;
}

} // namespace caperpath::gateway
