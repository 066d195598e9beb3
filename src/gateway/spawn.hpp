#ifndef CAPERPATH_SRC_GATEWAY_SPAWN_HPP
#define CAPERPATH_SRC_GATEWAY_SPAWN_HPP

#include "gateway/decision_log.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>

#include <exception>
#include <string>
#include <utility>

namespace caperpath::gateway
{

/// Starts `task`; nobody waits for its end. An exception that ends it is logged
/// as `step=exception` with `name`. Loop thread only; `log` must outlive the
/// task.
inline void spawn(boost::asio::any_io_executor const& executor,
                  boost::asio::awaitable<void> task, std::string name,
                  decision_log& log)
{
    boost::asio::co_spawn(
        executor, std::move(task),
        [name = std::move(name), &log](std::exception_ptr const& thrown)
        {
            if (thrown)
            {
                log.write_exception(name, thrown);
            }
        });
}

} // namespace caperpath::gateway

#endif
