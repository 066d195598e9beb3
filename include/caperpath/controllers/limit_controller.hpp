#ifndef CAPERPATH_CONTROLLERS_LIMIT_CONTROLLER_HPP
#define CAPERPATH_CONTROLLERS_LIMIT_CONTROLLER_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/routing/limit_port.hpp>

#include <caf/fwd.hpp>

namespace caperpath::controllers
{

/// Starts the actor that owns every customer's limit state at this router and
/// returns a port to it. The port rejects with `concurrency_exceeded` if the
/// actor does not reply within 1 s. The actor ends with the system. Thread
/// safe.
/// @pre `system` outlives the port
routing::limit_port make_limit_port(caf::actor_system& system, clock time);

} // namespace caperpath::controllers

#endif
