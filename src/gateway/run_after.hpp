#ifndef CAPERPATH_SRC_GATEWAY_RUN_AFTER_HPP
#define CAPERPATH_SRC_GATEWAY_RUN_AFTER_HPP

#include <caperpath/base/clock.hpp>

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <utility>

namespace caperpath::gateway
{

/// Converts `span` for the timers of the event loop. Thread safe.
inline std::chrono::milliseconds to_chrono(duration span)
{
    return std::chrono::milliseconds{span.ms};
}

/// Calls `next` after `pause`, unless `timer` is set again, cancelled or
/// destroyed before. If it throws it is called again after another `pause`, so
/// that an exception does not end what runs regularly. Loop thread only.
inline void run_after(boost::asio::steady_timer& timer, duration pause,
                      std::function<void()> next)
{
    timer.expires_after(to_chrono(pause));
    timer.async_wait(
        [&timer, pause,
         next = std::move(next)](boost::system::error_code cancelled)
        {
            if (cancelled)
            {
                return;
            }
            try
            {
                next();
            }
            catch (...)
            {
                run_after(timer, pause, next);
                throw;
            }
        });
}

} // namespace caperpath::gateway

#endif
