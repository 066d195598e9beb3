#ifndef CAPERPATH_BENCH_CAPACITY_STREAM_CLIENT_HPP
#define CAPERPATH_BENCH_CAPACITY_STREAM_CLIENT_HPP

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace caperpath::bench
{

/// Address, number and length of the requested streams.
struct stream_load
{
    std::string address;
    std::string key; ///< of the customer; ignored by a model engine
    std::size_t streams{};
    std::int64_t tokens{};
    std::chrono::milliseconds ramp{}; ///< the starts are spread evenly over it
};

/// Measurements of the callers. Spans are microseconds.
struct stream_times
{
    std::vector<double> first_token;
    std::vector<double> gaps;
    std::size_t failed{}; ///< streams without all their tokens
};

/// Callers that each read one response stream on a thread of their own. Not
/// thread safe.
class stream_callers
{
public:
    /// Starts them.
    explicit stream_callers(stream_load load);

    /// Tokens that all callers have received so far.
    std::int64_t tokens() const;

    /// Waits for the end of all streams. Call once.
    stream_times join();

private:
    void call(std::size_t index);

    stream_load const load;
    std::atomic<std::int64_t> arrived{0};
    std::vector<stream_times> seen;
    std::vector<std::thread> threads;
};

} // namespace caperpath::bench

#endif
