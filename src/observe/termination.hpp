#ifndef CAPERPATH_SRC_OBSERVE_TERMINATION_HPP
#define CAPERPATH_SRC_OBSERVE_TERMINATION_HPP

#include <csignal>

namespace caperpath::observe
{

/// Lets a `main` wait for SIGTERM or SIGINT and then stop in order. Not thread
/// safe. @pre made before any other thread starts, so that all inherit the
/// blocked signals and none is ended by one.
class termination_signal
{
public:
    termination_signal();

    /// Blocks until one of the two signals arrives.
    void wait() const;

private:
    sigset_t signals{};
};

} // namespace caperpath::observe

#endif
