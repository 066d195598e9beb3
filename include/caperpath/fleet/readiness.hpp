#ifndef CAPERPATH_FLEET_READINESS_HPP
#define CAPERPATH_FLEET_READINESS_HPP

#include <caperpath/base/clock.hpp>

/// When a router that starts may be given callers. Pure.
namespace caperpath::fleet
{

/// What a router that starts has learned so far. Immutable value.
struct start_progress
{
    bool knows_a_budget{false};
    bool has_shares{false}; ///< of every budget
    /// It has read which requests crash servers.
    bool knows_crashes{false};
    bool store_reachable{true};
    duration since_configuration{}; ///< since the first one was known

    friend bool operator==(start_progress const&,
                           start_progress const&) = default;
};

/// True if callers may come. What is missing for long does not keep a router
/// out of rotation: a fleet that starts would serve nobody. Thread safe.
bool may_take_callers(start_progress const& so_far);

} // namespace caperpath::fleet

#endif
