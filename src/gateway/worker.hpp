#ifndef CAPERPATH_SRC_GATEWAY_WORKER_HPP
#define CAPERPATH_SRC_GATEWAY_WORKER_HPP

#include <caperpath/base/error.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>

#include <cstddef>
#include <exception>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace caperpath::gateway
{

/// Text up to this size is parsed on the event loop: handing it over would cost
/// more than it saves.
inline constexpr std::size_t longest_inline_text = 16'384;

/// Runs computations that would hold the event loop for more than a few
/// milliseconds on a thread of its own, one after the other. They get values
/// and return values; all state stays with the loop thread. The thread is
/// started by the first computation. Loop thread only.
class worker
{
public:
    /// Results are delivered by `loop`.
    explicit worker(boost::asio::any_io_executor loop) : loop{std::move(loop)}
    {
    }

    /// Calls `job` on the worker's thread, then `done` with its result on the
    /// loop. An exception of `job` becomes an `internal` error with `step`.
    template <class Result>
    void run(std::string step, std::function<Result()> job,
             std::function<void(std::variant<Result, error>)> done)
    {
        if (!this->thread)
        {
            this->thread.emplace(1);
        }
        boost::asio::post(
            *this->thread,
            [loop = this->loop, step = std::move(step), job = std::move(job),
             done = std::move(done)]() mutable
            {
                boost::asio::post(loop, [result = result_of(step, job),
                                         done = std::move(done)]() mutable
                                  { done(std::move(result)); });
            });
    }

private:
    template <class Result>
    static std::variant<Result, error>
    result_of(std::string const& step, std::function<Result()> const& job)
    {
        try
        {
            return job();
        }
        catch (std::exception const& fault)
        {
            return error{error_kind::internal, step, "", fault.what()};
        }
        catch (...)
        {
            return error{error_kind::internal, step, "", "unknown exception"};
        }
    }

    boost::asio::any_io_executor loop;
    std::optional<boost::asio::thread_pool> thread;
};

} // namespace caperpath::gateway

#endif
