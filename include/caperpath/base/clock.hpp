#ifndef CAPERPATH_BASE_CLOCK_HPP
#define CAPERPATH_BASE_CLOCK_HPP

#include <compare>
#include <cstdint>
#include <functional>

namespace caperpath
{

/// A span of time in whole milliseconds. Immutable value; thread safe.
struct duration
{
    std::int64_t ms{};

    friend auto operator<=>(duration const&, duration const&) = default;
};

/// A point in time in milliseconds since an arbitrary origin of the clock that
/// gave it. Immutable value; thread safe.
struct instant
{
    std::int64_t ms{};

    friend auto operator<=>(instant const&, instant const&) = default;
};

constexpr duration operator+(duration a, duration b)
{
    return {a.ms + b.ms};
}

constexpr duration operator-(duration a, duration b)
{
    return {a.ms - b.ms};
}

constexpr duration operator*(duration a, std::int64_t factor)
{
    return {a.ms * factor};
}

constexpr instant operator+(instant at, duration span)
{
    return {at.ms + span.ms};
}

constexpr instant operator-(instant at, duration span)
{
    return {at.ms - span.ms};
}

constexpr duration operator-(instant later, instant earlier)
{
    return {later.ms - earlier.ms};
}

/// The only source of time in the project. The pure core never holds a clock;
/// it takes an `instant` as an argument. Copyable; thread safe if the wrapped
/// function is.
class clock
{
public:
    /// @pre `source` is callable and never goes backwards.
    explicit clock(std::function<instant()> source);

    /// Thread safe. Milliseconds since the clock's own origin.
    instant now() const;

    /// Monotonic time of this machine, for deadlines and intervals.
    static clock monotonic();

    /// Like `monotonic`, but includes time in suspend: for deadlines that
    /// depend on other machines.
    static clock boot();

    /// Milliseconds since the Unix epoch, for records that other programs read.
    static clock wall();

private:
    std::function<instant()> source;
};

} // namespace caperpath

#endif
