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
    /// Each wait is random between 75 % and 125 % of this, so that routers
    /// started together do not poll the store together.
    duration poll_interval{1'000};
    std::uint64_t jitter_seed{}; ///< different on each router
    incarnation_id incarnation;  ///< of this router, for drain commands

    friend bool operator==(config_controller_options const&,
                           config_controller_options const&) = default;
};

/// For metrics. Immutable value.
struct config_status
{
    std::uint64_t version{};       ///< in force here; 0: none, not ready
    std::uint64_t store_version{}; ///< highest read from the store
    std::uint64_t lag{};           ///< `store_version` minus `version`
    std::uint64_t loads{};         ///< documents accepted, from store or peers
    std::uint64_t polls{};
    std::uint64_t failed_polls{};
    std::uint64_t rejected_offers{}; ///< damaged or older documents from peers

    friend bool operator==(config_status const&,
                           config_status const&) = default;
};

/// Keeps the configuration of one router up to date: a CAF actor polls the
/// store for the current version through a detached worker, which loads a newer
/// one. Never goes back to an older version. Thread safe.
class config_controller
{
public:
    /// Starts polling. @pre `system` outlives the controller; the calls of
    /// `store` may be made from any thread.
    config_controller(caf::actor_system& system, store::port store,
                      config_controller_options options = {});

    /// Stops polling; does not wait for an open call to the store.
    ~config_controller();

    config_controller(config_controller const&) = delete;
    config_controller& operator=(config_controller const&) = delete;

    /// Returns a port that may outlive the controller; its configuration then
    /// no longer changes.
    config::port port() const;

    /// True once a version has been read from the store.
    bool ready() const;

    /// True once an operator's drain command for this incarnation was read; the
    /// process should then stop as on a termination signal. Stays true.
    bool drain_commanded() const;

    config_status status() const;

    /// Offers a document from a peer: `object` is its name in the store, which
    /// contains its hash, `text` its JSON. Returns true if it was accepted: it
    /// is undamaged and newer than the current one. Does not make the router
    /// ready, since only the store knows the newest version.
    bool offer(std::string const& object, std::string const& text);

    /// Polls the store now, for example when a peer announced a version.
    void poll_now();

private:
    struct state;
    struct actors;

    std::shared_ptr<state> shared_state;
    std::unique_ptr<actors> owned_actors;
};

} // namespace caperpath::controllers

#endif
