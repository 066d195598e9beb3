#ifndef CAPERPATH_OBSERVE_TRACE_HPP
#define CAPERPATH_OBSERVE_TRACE_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/observe/stopwatch.hpp>

#include <compare>
#include <cstdint>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace caperpath::observe
{

/// 128 bits, shown as 32 lower-case hexadecimal digits. All zero is invalid.
struct trace_id
{
    std::uint64_t high{};
    std::uint64_t low{};

    friend auto operator<=>(trace_id const&, trace_id const&) = default;
};

/// 64 bits, shown as 16 lower-case hexadecimal digits. Zero: no span.
struct span_id
{
    std::uint64_t value{};

    friend auto operator<=>(span_id const&, span_id const&) = default;
};

/// Returns the hexadecimal form. Thread safe.
std::string to_string(trace_id id);
std::string to_string(span_id id);

/// Returns nothing unless `text` is exactly the hexadecimal form. Accepts the
/// all-zero id. Thread safe.
std::optional<trace_id> parse_trace_id(std::string_view text);
std::optional<span_id> parse_span_id(std::string_view text);

/// Context passed from hop to hop: the trace, and the parent of the next hop's
/// span. Immutable value.
struct trace_context
{
    trace_id trace;
    span_id span;
    bool sampled{true};

    friend auto operator<=>(trace_context const&,
                            trace_context const&) = default;
};

/// Returns the W3C header value, version 00. Thread safe.
/// @pre neither id is all zero.
std::string format_traceparent(trace_context const& context);

/// Returns nothing if `header` is malformed by W3C Trace Context. Reads only
/// the part that version 00 defines from later versions. Never throws. Thread
/// safe.
std::optional<trace_context> parse_traceparent(std::string_view header);

/// Generates random ids from a seed, so that tests are reproducible. Thread
/// safe.
class id_generator
{
public:
    explicit id_generator(std::uint64_t seed);

    /// Neither function returns an all-zero id.
    trace_id next_trace_id();
    span_id next_span_id();

private:
    std::uint64_t next();

    std::mutex mutex;
    std::mt19937_64 engine;
};

struct span_attribute
{
    std::string key;
    std::string value;

    friend auto operator<=>(span_attribute const&,
                            span_attribute const&) = default;
};

/// Attribute keys that the tools interpret.
inline constexpr char request_attribute[] = "request.id";
inline constexpr char peer_attribute[] = "peer.address";
inline constexpr char vm_attribute[] = "vm";

/// One timed step of a request. Immutable value; create with `span_builder`.
struct span
{
    trace_id trace;
    span_id id;
    span_id parent; ///< zero: root of the trace
    std::string name;
    instant start;              ///< wall clock
    std::int64_t duration_us{}; ///< microseconds, by a monotonic clock
    std::vector<span_attribute> attributes;

    /// Returns the wall time of the end, rounded down.
    instant end() const;

    /// Returns the value of attribute `key`, or an empty view.
    std::string_view attribute(std::string_view key) const;

    friend auto operator<=>(span const&, span const&) = default;
};

/// Starts a span on construction; `finish` returns it. Not thread safe.
class span_builder
{
public:
    /// Starts a child of `parent`. @pre `wall` is a wall clock.
    span_builder(std::string name, trace_context const& parent,
                 id_generator& ids, clock const& wall);

    /// Returns the context for the next hop and for child spans.
    trace_context context() const;

    span_builder& with_attribute(std::string key, std::string value);

    /// Ends the span and returns it. Call once.
    span finish();

private:
    span value;
    bool sampled;
    stopwatch watch;
};

/// Returns the caller's trace if `header` is well formed, else a new trace
/// without a parent. Thread safe.
trace_context continue_trace(std::string_view header, id_generator& ids);

} // namespace caperpath::observe

#endif
