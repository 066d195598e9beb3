#ifndef CAPERPATH_OBSERVE_SPAN_SINK_HPP
#define CAPERPATH_OBSERVE_SPAN_SINK_HPP

#include <caperpath/base/error.hpp>
#include <caperpath/observe/trace.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace caperpath::observe
{

/// Returns one span as a line of OTLP JSON, without the line end. Bytes that
/// are not UTF-8 are replaced. Thread safe.
std::string to_json_line(span const& value);

/// Parses a line written by `to_json_line`; fails with `invalid` for any other
/// text. Thread safe.
result<span> parse_json_line(std::string_view line);

/// Receives finished spans. All functions are thread safe; copies share one
/// queue.
struct span_sink
{
    /// Queues a span without waiting for a file. If the queue is full, the
    /// span is dropped and counted.
    std::function<void(span)> record;

    /// Returns the number of spans dropped since the start.
    std::function<std::uint64_t()> dropped;

    /// Blocks until all spans recorded before the call are written.
    std::function<void()> flush;
};

/// Keeps the newest spans in memory. Thread safe.
class span_buffer
{
public:
    /// @pre `capacity` > 0.
    explicit span_buffer(std::size_t capacity);

    /// Adds a span; drops the oldest one if the buffer is full.
    void add(span value);

    /// Returns the kept spans, oldest first.
    std::vector<span> recent() const;

    /// Returns the number of spans dropped because the buffer was full.
    std::uint64_t dropped() const;

private:
    std::size_t capacity;
    mutable std::mutex mutex;
    std::deque<span> spans;
    std::uint64_t drop_count{0};
};

/// Returns a sink that keeps spans in `buffer`. @pre `buffer` is not null.
span_sink make_memory_sink(std::shared_ptr<span_buffer> const& buffer);

/// Returns a sink that discards spans without counting them; used when tracing
/// is off.
span_sink make_null_sink();

/// Returns a sink that appends lines to `file` on a separate thread, which ends
/// after the last copy of the sink is destroyed and the queue is written. Fails
/// with `unavailable` if the file cannot be opened. @pre `max_queued` > 0.
result<span_sink> make_file_sink(std::string const& file,
                                 std::size_t max_queued);

} // namespace caperpath::observe

#endif
