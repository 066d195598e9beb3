#ifndef CAPERPATH_CONTROLLERS_CONFIG_CONTROLLER_HPP
#define CAPERPATH_CONTROLLERS_CONFIG_CONTROLLER_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/config/port.hpp>
#include <caperpath/store/table.hpp>

#include <caf/fwd.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace caperpath::controllers
{

struct config_controller_options
{
    /// Each wait is drawn from three to five quarters of this, so that routers
    /// started together do not ask the store together.
    duration poll_interval{1'000};
    std::uint64_t jitter_seed{}; ///< another one on each router
    incarnation_id incarnation;  ///< of this router, for drain orders

    friend bool operator==(config_controller_options const&,
                           config_controller_options const&) = default;
};

/// For metrics. Immutable value.
struct config_status
{
    std::uint64_t version{};       ///< in force here; 0: none, not ready
    std::uint64_t store_version{}; ///< the highest the store has named
    std::uint64_t lag{};           ///< versions between the two
    std::uint64_t loads{};         ///< documents taken, from store or peers
    std::uint64_t polls{};
    std::uint64_t failed_polls{};
    std::uint64_t refused_offers{}; ///< damaged or older documents from peers

    friend bool operator==(config_status const&,
                           config_status const&) = default;
};

/// Keeps the configuration of one router up to date: a CAF actor that asks the
/// store for the current version and has a detached worker load a newer one.
/// Never goes back to an older version. Thread safe.
class config_controller
{
public:
    /// Starts polling. @pre `system` outlives the controller; the calls of
    /// `store` may be made from any thread.
    config_controller(caf::actor_system& system, store::port store,
                      config_controller_options options = {});

    /// Stops polling; does not wait for a call to the store that is open.
    ~config_controller();

    config_controller(config_controller const&) = delete;
    config_controller& operator=(config_controller const&) = delete;

    /// Usable beyond the controller's life; it then stays as it was.
    config::port port() const;

    /// True once a version has been read from the store.
    bool ready() const;

    /// True once an operator has ordered this incarnation to drain; then the
    /// process should stop as on a termination signal. Stays true.
    bool drain_ordered() const;

    config_status status() const;

    /// A document from a peer: `object` is its name in the store, which holds
    /// its hash, `text` its JSON. Taken if it is undamaged and newer than what
    /// is held. Returns true if it was taken. Does not make the router ready:
    /// only the store can tell that nothing newer is in force.
    bool offer(std::string const& object, std::string const& text);

    /// Asks the store now, for example when a peer announced a version.
    void poll_now();

private:
    struct state;
    struct actors;

    std::shared_ptr<state> held;
    std::unique_ptr<actors> running;
};

} // namespace caperpath::controllers

#endif
