#ifndef CAPERPATH_STAND_IN_LOAD_HISTORY_HPP
#define CAPERPATH_STAND_IN_LOAD_HISTORY_HPP

#include <caperpath/base/clock.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>

namespace caperpath::stand_in
{

/// What a backend server says of its load. Immutable value.
struct load_sample
{
    std::int64_t running{0};
    std::int64_t queued{0};
    std::int64_t cache_tokens{0};
    bool leaving{false};

    friend bool operator==(load_sample const&, load_sample const&) = default;
};

/// Remembers the load long enough to tell it as it was a lag ago. Thread safe.
class load_history
{
public:
    load_history(clock time, duration lag);

    /// Notes a change; `change` gets the newest sample.
    void update(std::function<void(load_sample&)> const& change);

    /// The load as it was `lag` ago.
    load_sample lagged() const;

private:
    struct entry
    {
        instant at;
        load_sample sample;
    };

    clock const time;
    duration const lag;
    mutable std::mutex mutex;
    std::deque<entry> entries; // never empty
};

} // namespace caperpath::stand_in

#endif
