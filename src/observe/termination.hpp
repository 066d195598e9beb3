#ifndef CAPERPATH_SRC_OBSERVE_TERMINATION_HPP
#define CAPERPATH_SRC_OBSERVE_TERMINATION_HPP

#include <csignal>

namespace caperpath::observe
{

/// Lets `main` wait for SIGTERM or SIGINT and then stop cleanly. Not thread
/// safe. @pre constructed before any other thread starts, so that all threads
/// inherit the blocked signals and none is terminated by them.
class termination_signal
{
public:
    termination_signal();

    /// Blocks until SIGTERM or SIGINT arrives.
    void wait() const;

private:
    sigset_t signals{};
};

} // namespace caperpath::observe

#endif
