#ifndef CAPERPATH_FLEET_READINESS_HPP
#define CAPERPATH_FLEET_READINESS_HPP

#include <caperpath/base/clock.hpp>

/// Decides when a starting router may be given callers. Pure.
namespace caperpath::fleet
{

/// What a starting router has received so far. Immutable value.
struct start_progress
{
    /// A budget was read from the store, or no customer has one.
    bool has_read_a_budget{false};
    /// Each budget has a share here or met several conflicts in the store. In a
    /// large fleet, the same as `has_read_a_budget`.
    bool has_shares{false};
    /// It has read the records of crashes and of streams.
    bool knows_records{false};
    bool store_reachable{true};
    duration since_configuration{}; ///< since the first one was read

    friend bool operator==(start_progress const&,
                           start_progress const&) = default;
};

/// True if the router may be given callers. Shares and crash records that stay
/// missing do not keep a router out of rotation, since a starting fleet would
/// otherwise serve nobody. Thread safe.
bool may_take_callers(start_progress const& so_far);

} // namespace caperpath::fleet

#endif
