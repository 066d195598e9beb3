#include "gateway/servers/timed_connect.hpp"

#include "gateway/http_client.hpp"
#include "gateway/run_after.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace caperpath::gateway
{

asio::awaitable<connect_result>
timed_connect(asio::any_io_executor const& executor, std::string const& address,
              duration limit)
{
    // Shared with the timer, whose handler may run after this function has
    // returned.
    auto const socket = std::make_shared<tcp::socket>(executor);
    asio::steady_timer timer{executor};
    timer.expires_after(to_chrono(limit));
    timer.async_wait(
        [socket](boost::system::error_code cancelled)
        {
            if (!cancelled)
            {
                boost::system::error_code ignored; // the pending connect fails
                socket->close(ignored);
            }
        });
    boost::system::error_code fault;
    co_await socket->async_connect(
        endpoint_of(address), asio::redirect_error(asio::use_awaitable, fault));
    timer.cancel();
    connect_result result;
    if (!socket->is_open())
    {
        co_return result;
    }
    if (fault)
    {
        result.outcome = fleet::connect_outcome::refused;
        co_return result;
    }
    result.outcome = fleet::connect_outcome::reached;
    result.link =
        std::make_shared<connection>(std::move(*socket), peer_silence_timeout);
    result.link->start();
    co_return result;
}

} // namespace caperpath::gateway
