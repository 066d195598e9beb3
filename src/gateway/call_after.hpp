#ifndef CAPERPATH_SRC_GATEWAY_CALL_AFTER_HPP
#define CAPERPATH_SRC_GATEWAY_CALL_AFTER_HPP

#include <caperpath/base/clock.hpp>

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <utility>

namespace caperpath::gateway
{

/// A span as the timers of the event loop take it. Thread safe.
inline std::chrono::milliseconds to_chrono(duration span)
{
    return std::chrono::milliseconds{span.ms};
}

/// Calls `next` after `pause`; never if `timer` is set anew, cancelled or
/// destroyed before. Loop thread only.
inline void call_after(boost::asio::steady_timer& timer, duration pause,
                       std::function<void()> next)
{
    timer.expires_after(to_chrono(pause));
    timer.async_wait(
        [next = std::move(next)](boost::system::error_code cancelled)
        {
            if (!cancelled)
            {
                next();
            }
        });
}

} // namespace caperpath::gateway

#endif
