#ifndef CAPERPATH_OBSERVE_STOPWATCH_HPP
#define CAPERPATH_OBSERVE_STOPWATCH_HPP

#include <chrono>
#include <cstdint>

namespace caperpath::observe
{

/// Measures what milliseconds are too coarse for: a token's way through the
/// router takes less than one. Starts when it is made. Immutable; thread safe.
class stopwatch
{
public:
    stopwatch() : start{std::chrono::steady_clock::now()}
    {
    }

    /// Microseconds since it was made, by a monotonic clock.
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
