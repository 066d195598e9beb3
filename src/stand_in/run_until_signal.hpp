#ifndef CAPERPATH_STAND_IN_RUN_UNTIL_SIGNAL_HPP
#define CAPERPATH_STAND_IN_RUN_UNTIL_SIGNAL_HPP

#include "http/server.hpp"

#include <functional>
#include <string>

namespace caperpath::stand_in
{

/// What a stand-in's `main` needs of it.
struct program_parts
{
    std::string listen;         ///< "IP:port"
    std::function<int()> start; ///< gives the port, or -1
    std::function<void()> stop;
};

/// Makes SIGTERM and SIGINT wait for `run_until_signal` in this thread and in
/// all that it starts. Call before the first thread is started.
void hold_signals();

/// Starts, prints `{"listening":"IP:port"}` on a line, waits for SIGTERM or
/// SIGINT, stops. Returns the exit code: 0, or 1 when it can't listen.
/// @pre `hold_signals` was called.
int run_until_signal(program_parts const& parts);

} // namespace caperpath::stand_in

#endif
