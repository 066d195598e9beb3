#ifndef CAPERPATH_SRC_GATEWAY_WAKER_HPP
#define CAPERPATH_SRC_GATEWAY_WAKER_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <memory>

namespace caperpath::gateway
{

namespace asio = boost::asio;

using time_point = std::chrono::steady_clock::time_point;

/// Lets one coroutine sleep until any of several things has happened: input on
/// a connection, a reply of the store, a timeout. Whoever changed something
/// calls `raise`; the sleeper then looks at all of it. Loop thread only.
class waker
{
public:
    explicit waker(asio::any_io_executor const& executor) : timer{executor}
    {
    }

    /// Wakes the sleeper, or lets its next `wait` return at once.
    void raise()
    {
        this->raised = true;
        this->timer.cancel();
    }

    /// Returns false if nothing was raised until `deadline`.
    asio::awaitable<bool> wait(time_point deadline)
    {
        if (!this->raised)
        {
            boost::system::error_code ignored; // cancelled means raised
            this->timer.expires_at(deadline);
            co_await this->timer.async_wait(
                asio::redirect_error(asio::use_awaitable, ignored));
        }
        co_return std::exchange(this->raised, false);
    }

private:
    asio::steady_timer timer;
    bool raised{false};
};

using waker_ptr = std::shared_ptr<waker>;

} // namespace caperpath::gateway

#endif
