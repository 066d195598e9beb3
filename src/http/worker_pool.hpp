#ifndef CAPERPATH_SRC_HTTP_WORKER_POOL_HPP
#define CAPERPATH_SRC_HTTP_WORKER_POOL_HPP

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace caperpath::http
{

/// Runs tasks on threads that are created when none is idle, up to a maximum,
/// and then kept. A fixed pool of 1,200 threads would allocate all stacks at
/// the start. Thread safe.
class worker_pool
{
public:
    explicit worker_pool(std::size_t max_threads);

    /// Waits for all tasks.
    ~worker_pool();

    worker_pool(worker_pool const&) = delete;
    worker_pool& operator=(worker_pool const&) = delete;

    /// Queues `task`; it waits while all threads are busy.
    void enqueue(std::function<void()> task);

    /// Runs the queued tasks and joins the threads. Idempotent.
    /// @pre not called from a task.
    void shutdown();

private:
    void work();

    std::size_t max_threads;
    std::mutex mutex;
    std::condition_variable wake;
    std::deque<std::function<void()>> tasks;
    std::vector<std::thread> threads;
    std::size_t idle{0};
    bool stopping{false};
};

} // namespace caperpath::http

#endif
