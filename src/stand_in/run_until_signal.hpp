#ifndef CAPERPATH_STAND_IN_RUN_UNTIL_SIGNAL_HPP
#define CAPERPATH_STAND_IN_RUN_UNTIL_SIGNAL_HPP

#include "http/server.hpp"

#include <functional>
#include <string>

namespace caperpath::stand_in
{

/// The functions with which `main` runs an emulator.
struct program_parts
{
    std::string listen;         ///< "IP:port"
    std::function<int()> start; ///< returns the port, or -1
    std::function<void()> stop;
};

/// Blocks SIGTERM and SIGINT in this thread and in those it starts, so that
/// `run_until_signal` receives them. Call before the first thread is started.
void hold_signals();

/// Starts the emulator, prints `{"listening":"IP:port"}` on a line, waits for
/// SIGTERM or SIGINT and stops. Returns the exit code: 0, or 1 if it cannot
/// listen.
/// @pre `hold_signals` was called.
int run_until_signal(program_parts const& parts);

} // namespace caperpath::stand_in

#endif
