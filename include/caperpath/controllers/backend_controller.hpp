#ifndef CAPERPATH_CONTROLLERS_BACKEND_CONTROLLER_HPP
#define CAPERPATH_CONTROLLERS_BACKEND_CONTROLLER_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/config/document.hpp>
#include <caperpath/routing/backend_port.hpp>
#include <caperpath/routing/backend_view.hpp>

#include <caf/actor.hpp>
#include <caf/fwd.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace caperpath::controllers
{

/// Settings of the backend controller.
struct backend_options
{
    clock time;
    std::uint64_t seed{1};
    failure_domain_id own_failure_domain;
};

/// The load a backend server reported, or that it did not respond.
struct load_report
{
    backend_server_id id;
    bool responded{false};
    std::int64_t running{};
    std::int64_t queued{};
    std::int64_t slots{};
    duration age; ///< age of the report when it was received
    bool draining{false};

    friend bool operator==(load_report const&, load_report const&) = default;
};

/// Starts the actor that owns this router's view of all backend servers. Update
/// it with `send_configuration` and `send_load_report`. Thread safe.
caf::actor spawn_backend_controller(caf::actor_system& system,
                                    backend_options options);

/// Returns a port to the controller. If the controller does not reply within
/// 1 s, `choose` returns `none_usable`. Thread safe.
/// @pre `system` outlives the port
routing::backend_port make_backend_port(caf::actor_system& system,
                                        caf::actor const& controller);

/// Returns the current view, for `/healthz` and for pollers; empty if the
/// controller does not reply within 1 s. Blocks. Thread safe.
std::vector<routing::backend_view> list_backends(caf::actor_system& system,
                                                 caf::actor const& controller);

/// Sends the controller a newer configuration. Thread safe.
void send_configuration(caf::actor const& controller,
                        std::shared_ptr<config::document const> document);

/// Sends the controller a load report. Thread safe.
void send_load_report(caf::actor const& controller, load_report report);

} // namespace caperpath::controllers

#endif
