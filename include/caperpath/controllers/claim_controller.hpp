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

/// What the controller of all claims at one router needs. Immutable value.
struct claim_controller_options
{
    incarnation_id incarnation;
    store::port platform;
    request::claim_options claims;
    clock time{clock::monotonic()};
    clock wall{clock::wall()};
    std::uint64_t seed{1};       ///< of the jitter
    std::size_t workers{4};      ///< threads that call the platform
    duration tick{20};           ///< how often unfinished ends are looked at
    duration finish_wait{2'000}; ///< the longest that `finish` blocks
    /// Finished claims that this process still knows, to delete them in time;
    /// the oldest are forgotten beyond this and stay in the table.
    std::size_t most_kept{100'000};
};

/// What claims look like now, or were left like by `stop`. Immutable value.
struct claim_report
{
    std::size_t open{};     ///< of requests that run
    std::size_t pending{};  ///< ended, and not written yet
    std::size_t doubtful{}; ///< may stand in the table without a runner
    std::size_t kept{};     ///< to be deleted when their time is over

    friend bool operator==(claim_report const&, claim_report const&) = default;
};

/// The claims of one router: an actor owns them, and its workers call the
/// platform. Its holder row (see budget/rows.hpp) must have been bound or be
/// bound soon: until then claims wait. Functions are thread safe.
class claim_controller
{
public:
    /// @pre `system` outlives the controller.
    claim_controller(caf::actor_system& system,
                     claim_controller_options options);
    /// Stops with a bound of 0 when `stop` was not called.
    ~claim_controller();

    claim_controller(claim_controller const&) = delete;
    claim_controller& operator=(claim_controller const&) = delete;

    /// For the request filters. @pre the controller outlives the port
    request::claim_port port();

    claim_report report() const;

    /// Writes what is pending; gives up after `bound`. Blocks. Call it when no
    /// request runs any more and before the holder row is closed.
    claim_report stop(duration bound);

private:
    class parts;
    std::unique_ptr<parts> inside;
};

} // namespace caperpath::controllers

#endif
