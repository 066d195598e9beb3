#ifndef CAPERPATH_STAND_IN_ADMIN_ROUTES_HPP
#define CAPERPATH_STAND_IN_ADMIN_ROUTES_HPP

#include "stand_in/command_handler.hpp"
#include "stand_in/fault_registry.hpp"
#include "stand_in/stop_signal.hpp"

#include <httplib.h>

#include <functional>
#include <string>
#include <vector>

/// Routes of both emulators. Register them before the server starts.
/// @pre arguments passed by reference outlive the server.
namespace caperpath::stand_in
{

/// Registers `POST /faults` and `DELETE /faults`. `accept` receives each valid
/// fault, and adds it to the board or applies it immediately.
void add_fault_routes(httplib::Server& server, fault_registry& board,
                      std::vector<std::string> kinds,
                      std::function<void(fault_command const&)> accept);

/// During an outage, closes the connection of every call without a response,
/// except for calls to `exempt_paths`.
void add_outage(httplib::Server& server, fault_registry& board,
                std::vector<std::string> exempt_paths);

/// Registers `POST /orders`, which returns 409 for an old fencing number. Calls
/// `changed` after a command was applied.
void add_command_route(httplib::Server& server, command_handler& desk,
                       std::function<void()> changed);

/// Applies an injected delay, then an injected error or the rejection of a
/// draining server. Returns true if it has set `response`. Thread safe.
bool rejected_by_fault_or_drain(fault_registry& faults,
                                command_handler const& orders,
                                stop_signal& stopping,
                                httplib::Response& response);

} // namespace caperpath::stand_in

#endif
