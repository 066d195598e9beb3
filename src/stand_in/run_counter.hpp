#ifndef CAPERPATH_STAND_IN_RUN_COUNTER_HPP
#define CAPERPATH_STAND_IN_RUN_COUNTER_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace caperpath::stand_in
{

/// Counts the runs of each key; drops the oldest key beyond its capacity.
/// Thread safe.
class run_counter
{
public:
    explicit run_counter(std::size_t capacity) : capacity{capacity}
    {
    }

    /// Counts a run of `key` and returns the number of its runs.
    std::int64_t add(std::string const& key)
    {
        std::lock_guard const lock{this->mutex};
        auto const [found, fresh] = this->runs.try_emplace(key, 0);
        auto const count = ++found->second;
        if (fresh)
        {
            this->order.push_back(key);
        }
        if (this->order.size() > this->capacity)
        {
            this->runs.erase(this->order.front());
            this->order.pop_front();
        }
        return count;
    }

    std::map<std::string, std::int64_t> all() const
    {
        std::lock_guard const lock{this->mutex};
        return this->runs;
    }

private:
    std::size_t capacity;
    mutable std::mutex mutex;
    std::map<std::string, std::int64_t> runs;
    std::deque<std::string> order;
};

} // namespace caperpath::stand_in

#endif
