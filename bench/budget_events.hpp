#ifndef CAPERPATH_BENCH_BUDGET_EVENTS_HPP
#define CAPERPATH_BENCH_BUDGET_EVENTS_HPP

#include <caperpath/base/clock.hpp>

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace caperpath::bench
{

/// Discrete-event loop with simulated time; events of equal time keep their
/// order.
class event_loop
{
public:
    instant now() const
    {
        return this->time;
    }

    void after(duration pause, std::function<void()> what)
    {
        this->events.push({this->time + pause, this->count++, std::move(what)});
    }

    /// Runs events until `end`; later events stay queued.
    void run_until(instant end)
    {
        while (!this->events.empty() && this->events.top().at <= end)
        {
            auto const next = this->events.top();
            this->events.pop();
            this->time = next.at;
            next.what();
        }
        this->time = end;
    }

private:
    struct event
    {
        instant at;
        std::uint64_t number{};
        std::function<void()> what;

        bool operator<(event const& other) const
        {
            return std::pair{other.at, other.number} <
                   std::pair{this->at, this->number};
        }
    };

    instant time{};
    std::uint64_t count{};
    std::priority_queue<event> events;
};

} // namespace caperpath::bench

#endif
