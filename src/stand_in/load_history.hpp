#ifndef CAPERPATH_STAND_IN_LOAD_HISTORY_HPP
#define CAPERPATH_STAND_IN_LOAD_HISTORY_HPP

#include <caperpath/base/clock.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>

namespace caperpath::stand_in
{

/// The load that a backend server reports. Immutable value.
struct load_sample
{
    std::int64_t running{0};
    std::int64_t queued{0};
    std::int64_t cache_tokens{0};
    bool leaving{false};

    friend bool operator==(load_sample const&, load_sample const&) = default;
};

/// Keeps the load history needed to report it with a lag. Thread safe.
class load_history
{
public:
    load_history(clock time, duration lag);

    /// Records a change; `change` receives the newest sample.
    void update(std::function<void(load_sample&)> const& change);

    /// Returns the load as it was `lag` ago.
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
