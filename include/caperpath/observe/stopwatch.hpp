#ifndef CAPERPATH_OBSERVE_STOPWATCH_HPP
#define CAPERPATH_OBSERVE_STOPWATCH_HPP

#include <chrono>
#include <cstdint>

namespace caperpath::observe
{

/// Measures durations in microseconds: the router forwards a token in less than
/// a millisecond. Starts on construction. Immutable; thread safe.
class stopwatch
{
public:
    stopwatch() : start{std::chrono::steady_clock::now()}
    {
    }

    /// Returns the microseconds since construction, by a monotonic clock.
    std::int64_t elapsed_us() const
    {
        auto const span = std::chrono::steady_clock::now() - this->start;
        return std::chrono::duration_cast<std::chrono::microseconds>(span)
            .count();
    }

private:
    std::chrono::steady_clock::time_point start;
};

} // namespace caperpath::observe

#endif
