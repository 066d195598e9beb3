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

/// Suspends one coroutine until any of several events occurs: input on a
/// connection, a reply of the store, a timeout. The code that causes an event
/// calls `raise`; the coroutine then checks all of its conditions. Loop thread
/// only.
class waker
{
public:
    explicit waker(asio::any_io_executor const& executor) : timer{executor}
    {
    }

    /// Resumes the waiting coroutine, or makes its next `wait` return at once.
    void raise()
    {
        this->raised = true;
        this->timer.cancel();
    }

    /// Returns false if `deadline` passed without a `raise`.
    asio::awaitable<bool> wait(time_point deadline)
    {
        if (!this->raised)
        {
            boost::system::error_code
                ignored; // cancellation means `raise` was called
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
