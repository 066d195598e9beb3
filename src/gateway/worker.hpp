#ifndef CAPERPATH_SRC_GATEWAY_WORKER_HPP
#define CAPERPATH_SRC_GATEWAY_WORKER_HPP

#include <caperpath/base/error.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>

#include <cstddef>
#include <exception>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <variant>

namespace caperpath::gateway
{

/// Text up to this size is parsed on the event loop: handing it over would cost
/// more than it saves.
inline constexpr std::size_t longest_inline_text = 16'384;

/// What a computation belongs to. Those of one lane run in order, and none
/// waits for another lane.
enum class worker_lane
{
    configuration, ///< hundreds of milliseconds, if it is large
    rows           ///< of the store's other tables, which callers wait for
};

/// Runs computations that would hold the event loop for more than a few
/// milliseconds on threads of their own, one for each lane. They get values
/// and return values; all state stays with the loop thread. A thread is
/// started by the first computation of its lane. Loop thread only.
class worker
{
public:
    /// Results are delivered by `loop`.
    explicit worker(boost::asio::any_io_executor loop) : loop{std::move(loop)}
    {
    }

    /// Calls `job` on the thread of `lane`, then `done` with its result on the
    /// loop. An exception of `job` becomes an `internal` error with `step`.
    template <class Result>
    void run(worker_lane lane, std::string step, std::function<Result()> job,
             std::function<void(std::variant<Result, error>)> done)
    {
        auto& thread = this->threads.try_emplace(lane, 1).first->second;
        boost::asio::post(
            thread,
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
    std::map<worker_lane, boost::asio::thread_pool> threads;
};

} // namespace caperpath::gateway

#endif
