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

/// Thread safe. One span as one line of OTLP's JSON form, without the line end.
/// Bytes that are not UTF-8 are replaced.
std::string to_json_line(span const& value);

/// Thread safe. The span of a line made by `to_json_line`; `invalid` for any
/// other text.
result<span> parse_json_line(std::string_view line);

/// Where finished spans go. A struct of functions, each thread safe; copies
/// share one queue.
struct span_sink
{
    /// Hands a span over and returns at once; never waits for a file. When the
    /// queue is full the span is dropped and counted.
    std::function<void(span)> record;

    /// Spans dropped since the start.
    std::function<std::uint64_t()> dropped;

    /// Blocks until what was recorded before is written.
    std::function<void()> flush;
};

/// The newest spans, in memory. Thread safe.
class span_buffer
{
public:
    /// @pre `capacity` > 0.
    explicit span_buffer(std::size_t capacity);

    /// Adds a span; the oldest one goes when the buffer is full.
    void add(span value);

    /// Oldest first.
    std::vector<span> recent() const;

    /// Spans that had to go.
    std::uint64_t dropped() const;

private:
    std::size_t capacity;
    mutable std::mutex mutex;
    std::deque<span> spans;
    std::uint64_t drop_count{0};
};

/// A sink that keeps spans in `buffer`. @pre `buffer` is not null.
span_sink make_memory_sink(std::shared_ptr<span_buffer> const& buffer);

/// A sink that drops everything without counting, for when tracing is off.
span_sink make_null_sink();

/// A sink that appends lines to `file` from a thread of its own, which ends
/// after the last copy of the sink is gone and the queue is written.
/// `unavailable` when the file cannot be opened. @pre `max_queued` > 0.
result<span_sink> make_file_sink(std::string const& file,
                                 std::size_t max_queued);

} // namespace caperpath::observe

#endif
