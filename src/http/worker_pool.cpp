#include "http/worker_pool.hpp"

#include <utility>

namespace caperpath::http
{

worker_pool::worker_pool(std::size_t max_threads) : max_threads{max_threads}
{
}

worker_pool::~worker_pool()
{
    this->shutdown();
}

void worker_pool::enqueue(std::function<void()> task)
{
    std::lock_guard const lock{this->mutex};
    this->tasks.push_back(std::move(task));
    if (this->idle < this->tasks.size() &&
        this->threads.size() < this->max_threads)
    {
        this->threads.emplace_back([this] { this->work(); });
    }
    this->wake.notify_one();
}

void worker_pool::shutdown()
{
    std::vector<std::thread> joined;
    {
        std::lock_guard const lock{this->mutex};
        this->stopping = true;
        joined.swap(this->threads);
    }
    this->wake.notify_all();
    for (auto& thread : joined)
    {
        thread.join();
    }
}

void worker_pool::work()
{
    std::unique_lock lock{this->mutex};
    while (true)
    {
        ++this->idle;
        this->wake.wait(lock, [this]
                        { return !this->tasks.empty() || this->stopping; });
        --this->idle;
        if (this->tasks.empty())
        {
            return;
        }
        auto task = std::move(this->tasks.front());
        this->tasks.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace caperpath::http
