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

/// What the view of backend servers depends on.
struct backend_options
{
    clock time;
    std::uint64_t seed{1};
    failure_domain_id own_failure_domain;
};

/// What a backend server reported about its load, or that it did not answer.
struct load_report
{
    backend_server_id id;
    bool answered{false};
    std::int64_t running{};
    std::int64_t queued{};
    std::int64_t slots{};
    duration age; ///< how old it was when it came
    bool leaving{false};

    friend bool operator==(load_report const&, load_report const&) = default;
};

/// Starts the actor that owns this router's view of all backend servers. It
/// takes `std::shared_ptr<config::document const>` (a newer configuration) and
/// `load_report` as messages. Thread safe.
caf::actor spawn_backend_controller(caf::actor_system& system,
                                    backend_options options);

/// A port to it. Thread safe. @pre `system` outlives the port
routing::backend_port make_backend_port(caf::actor_system& system,
                                        caf::actor const& controller);

/// The view as it is now, for `/healthz` and for pollers. Thread safe.
std::vector<routing::backend_view> list_backends(caf::actor_system& system,
                                                 caf::actor const& controller);

/// Hands the controller a newer configuration. Thread safe.
void send_configuration(caf::actor const& controller,
                        std::shared_ptr<config::document const> document);

/// Hands the controller a load report. Thread safe.
void send_load_report(caf::actor const& controller, load_report report);

} // namespace caperpath::controllers

#endif
