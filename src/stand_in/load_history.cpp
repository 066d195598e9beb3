#include "stand_in/load_history.hpp"

#include <utility>

namespace caperpath::stand_in
{

load_history::load_history(clock time, duration lag)
    : time{std::move(time)}, lag{lag}
{
    this->entries.push_back({this->time.now(), {}});
}

void load_history::update(std::function<void(load_sample&)> const& change)
{
    std::lock_guard const lock{this->mutex};
    auto const now = this->time.now();
    if (this->entries.back().at != now)
    {
        this->entries.push_back({now, this->entries.back().sample});
    }
    change(this->entries.back().sample);
    // Keeps one entry at or before the lag, which `lagged` returns.
    while (this->entries.size() > 1 && this->entries[1].at <= now - this->lag)
    {
        this->entries.pop_front();
    }
}

load_sample load_history::lagged() const
{
    std::lock_guard const lock{this->mutex};
    auto const until = this->time.now() - this->lag;
    auto sample = this->entries.front().sample;
    for (auto const& entry : this->entries)
    {
        if (entry.at > until)
        {
            break;
        }
        sample = entry.sample;
    }
    return sample;
}

} // namespace caperpath::stand_in
