#include "soak/pause.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace caperpath::soak
{

namespace asio = boost::asio;

asio::awaitable<void> pause(asio::any_io_executor const& executor,
                            std::chrono::milliseconds time)
{
    boost::system::error_code ignored; // the timer is never cancelled
    asio::steady_timer timer{executor, time};
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace caperpath::soak
