#ifndef CAPERPATH_CONTROLLERS_CLAIM_CONTROLLER_HPP
#define CAPERPATH_CONTROLLERS_CLAIM_CONTROLLER_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/request/claim.hpp>
#include <caperpath/request/claim_state.hpp>
#include <caperpath/store/table.hpp>

#include <caf/fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>

namespace caperpath::controllers
{

/// Settings of the controller of all claims at one router. Immutable value.
struct claim_controller_options
{
    incarnation_id incarnation;
    store::port platform;
    request::claim_options claims;
    clock time{clock::monotonic()};
    clock wall{clock::wall()};
    std::uint64_t seed{1};       ///< of the jitter
    std::size_t workers{4};      ///< threads that call the platform
    duration tick{20};           ///< interval of timers and retries
    duration finish_wait{2'000}; ///< longest time that `finish` blocks
    /// Number of finished claims that this process tracks in order to delete
    /// them later. Beyond it the oldest are dropped and stay in the table.
    std::size_t max_tracked{100'000};
};

/// Numbers of claims now, or when `stop` ended. Immutable value.
struct claim_report
{
    std::size_t open{};      ///< of running requests
    std::size_t pending{};   ///< ended, but the end is not yet written
    std::size_t uncertain{}; ///< may be in the table without a runner
    std::size_t expiring{};  ///< to be deleted after their retention

    friend bool operator==(claim_report const&, claim_report const&) = default;
};

/// The claims of one router. An actor owns them, and its workers call the
/// platform. Claims wait until the router's holder row (see budget/rows.hpp) is
/// bound. Functions are thread safe.
class claim_controller
{
public:
    /// @pre `system` outlives the controller.
    claim_controller(caf::actor_system& system,
                     claim_controller_options options);
    /// Stops with a bound of 0 if `stop` was not called.
    ~claim_controller();

    claim_controller(claim_controller const&) = delete;
    claim_controller& operator=(claim_controller const&) = delete;

    /// Returns the port for the request filters.
    /// @pre the controller outlives the port
    request::claim_port port();

    claim_report report() const;

    /// Writes the pending ends; gives up after `bound`. Blocks.
    /// @pre no request is running and the holder row is not yet closed
    claim_report stop(duration bound);

private:
    class impl;
    std::unique_ptr<impl> pimpl;
};

} // namespace caperpath::controllers

#endif
