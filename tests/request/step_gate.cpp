#include "request/step_gate.hpp"

#include <utility>

namespace caperpath::tests
{

step_gate::~step_gate()
{
    for (auto ids = this->waiting(); !ids.empty(); ids = this->waiting())
    {
        this->step(ids.front());
    }
    for (auto& thread : this->threads)
    {
        thread.join();
    }
}

void step_gate::add(std::function<void()> task)
{
    auto const id = this->threads.size();
    this->ended.push_back(false);
    this->threads.emplace_back(
        [this, id, task = std::move(task)]
        {
            {
                std::unique_lock lock{this->mutex};
                this->wait_for(lock, id);
            }
            task();
            std::unique_lock const lock{this->mutex};
            this->ended[id] = true;
            this->turn = driver;
            this->changed.notify_all();
        });
}

std::vector<std::size_t> step_gate::waiting() const
{
    std::vector<std::size_t> ids;
    for (std::size_t id = 0; id < this->ended.size(); ++id)
    {
        if (!this->ended[id])
        {
            ids.push_back(id);
        }
    }
    return ids;
}

void step_gate::step(std::size_t id)
{
    std::unique_lock lock{this->mutex};
    this->turn = id;
    this->running = id;
    this->changed.notify_all();
    this->wait_for(lock, driver);
}

void step_gate::pass()
{
    std::unique_lock lock{this->mutex};
    auto const id = this->running;
    this->turn = driver;
    this->changed.notify_all();
    this->wait_for(lock, id);
}

void step_gate::wait_for(std::unique_lock<std::mutex>& lock, std::size_t id)
{
    this->changed.wait(lock, [this, id] { return this->turn == id; });
}

} // namespace caperpath::tests
