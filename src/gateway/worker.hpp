#ifndef CAPERPATH_SRC_GATEWAY_WORKER_HPP
#define CAPERPATH_SRC_GATEWAY_WORKER_HPP

#include <caperpath/base/error.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>

#include <chrono>
#include <cstddef>
#include <exception>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
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
    /// loop. An exception of `job` becomes an `internal` error with `step`. If
    /// no thread can be started, `job` is called at once.
    template <class Result>
    void run(worker_lane lane, std::string step, std::function<Result()> job,
             std::function<void(std::variant<Result, error>)> done)
    {
        auto const task = std::make_shared<computation<Result>>(
            std::move(step), std::move(job), std::move(done));
        try
        {
            auto& thread = this->threads.try_emplace(lane, 1).first->second;
            boost::asio::post(thread, [loop = this->loop, task]
                              { compute_and_deliver(loop, task); });
        }
        catch (std::exception const&)
        {
            compute_and_deliver(this->loop, task);
        }
    }

private:
    /// Has all memory that its delivery needs before the computation begins.
    template <class Result>
    struct computation
    {
        computation(std::string step, std::function<Result()> job,
                    std::function<void(std::variant<Result, error>)> done)
            : job{std::move(job)}, done{std::move(done)},
              result{error{error_kind::internal, std::move(step), "",
                           "unknown exception"}}
        {
        }

        std::function<Result()> job;
        std::function<void(std::variant<Result, error>)> done;
        std::variant<Result, error> result;
    };

    /// An exception here would end the process, and a lost result would leave
    /// its receiver waiting for ever.
    template <class Result>
    static void
    compute_and_deliver(boost::asio::any_io_executor const& loop,
                        std::shared_ptr<computation<Result>> const& task)
    {
        compute(*task);
        while (!try_deliver(loop, task))
        {
            std::this_thread::sleep_for(delivery_pause);
        }
    }

    template <class Result>
    static void compute(computation<Result>& task) noexcept
    {
        try
        {
            task.result = std::exchange(task.job, nullptr)();
        }
        catch (std::exception const& fault)
        {
            try
            {
                std::get<error>(task.result).detail = fault.what();
            }
            catch (...) // NOLINT(bugprone-empty-catch): the detail is missing
            {
            }
        }
        catch (...) // NOLINT(bugprone-empty-catch): the result says so
        {
        }
    }

    template <class Result>
    static bool
    try_deliver(boost::asio::any_io_executor const& loop,
                std::shared_ptr<computation<Result>> const& task) noexcept
    {
        try
        {
            boost::asio::post(loop,
                              [task]
                              {
                                  auto const done =
                                      std::exchange(task->done, nullptr);
                                  done(std::move(task->result));
                              });
            return true;
        }
        catch (...)
        {
            return false;
        }
    }

    static constexpr std::chrono::milliseconds delivery_pause{10};

    boost::asio::any_io_executor loop;
    std::map<worker_lane, boost::asio::thread_pool> threads;
};

} // namespace caperpath::gateway

#endif
