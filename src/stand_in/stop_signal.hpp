#ifndef CAPERPATH_STAND_IN_STOP_SIGNAL_HPP
#define CAPERPATH_STAND_IN_STOP_SIGNAL_HPP

#include <caperpath/base/clock.hpp>

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace caperpath::stand_in
{

/// Ends delays in handlers early when the process stops.
/// Thread safe.
class stop_signal
{
public:
    void raise()
    {
        std::lock_guard const lock{this->mutex};
        this->raised = true;
        this->wake.notify_all();
    }

    /// Waits up to `span`; returns true once the signal is raised.
    bool wait(duration span)
    {
        std::unique_lock lock{this->mutex};
        return this->wake.wait_for(lock, std::chrono::milliseconds{span.ms},
                                   [this] { return this->raised; });
    }

private:
    std::mutex mutex;
    std::condition_variable wake;
    bool raised{false};
};

} // namespace caperpath::stand_in

#endif
