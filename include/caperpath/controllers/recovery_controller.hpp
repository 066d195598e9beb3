#ifndef CAPERPATH_CONTROLLERS_RECOVERY_CONTROLLER_HPP
#define CAPERPATH_CONTROLLERS_RECOVERY_CONTROLLER_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/budget/recovery_round.hpp>
#include <caperpath/platform/table.hpp>

#include <caf/actor.hpp>
#include <caf/fwd.hpp>

#include <cstdint>

namespace caperpath::controllers
{

struct recovery_controller_options
{
    budget::recovery_options recovery;
    platform::port platform;
    clock time{clock::monotonic()};
    /// Each pause is drawn from half to one and a half of this, so that 390
    /// routers that start together don't read the store together.
    duration interval{10'000};
    std::uint64_t seed{1};
};

/// Starts the actor that recovers dead holders of budget shares, on a thread of
/// its own because the platform's calls block. Ends on an exit message. Thread
/// safe. @pre the process has bound `recovery.address`
caf::actor spawn_recovery_controller(caf::actor_system& system,
                                     recovery_controller_options options);

} // namespace caperpath::controllers

#endif
