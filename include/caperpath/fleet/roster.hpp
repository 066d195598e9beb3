#ifndef CAPERPATH_FLEET_ROSTER_HPP
#define CAPERPATH_FLEET_ROSTER_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Which routers are alive, as their heartbeat rows in the store show. Pure.
namespace caperpath::fleet
{

/// A router's heartbeat row as read from the store.
struct heartbeat
{
    incarnation_id router;
    std::string address;     ///< "IP:port" for messages of other routers
    std::uint64_t version{}; ///< of the row; it changes with each heartbeat

    friend bool operator==(heartbeat const&, heartbeat const&) = default;
};

/// When a call to the store was sent and when its answer came: what it tells
/// was true at some moment between. Immutable value.
struct call_times
{
    instant sent{};
    instant answered{};

    friend bool operator==(call_times const&, call_times const&) = default;
};

/// What is known of one router.
struct member
{
    std::string address;
    std::uint64_t version{};
    instant changed_at{};  ///< answer of the first read with this version
    instant observed_at{}; ///< the same, in the roster's observed time

    friend bool operator==(member const&, member const&) = default;
};

/// The heartbeat rows as the latest read showed them.
struct roster
{
    std::map<incarnation_id, member> members;
    /// Routers whose rows a read no longer showed, and when its answer came.
    std::map<incarnation_id, instant> removed;
    /// Advances with successful reads only. A lifetime that runs on the clock
    /// ends while the store is away, since nobody's renewal can be read: every
    /// router would count the others as dead at once.
    instant observed{};
    call_times read; ///< the latest read; 0 before it

    friend bool operator==(roster const&, roster const&) = default;
};

inline constexpr duration heartbeat_interval{4'000};
/// Three heartbeats may be missed: the store is away for seconds at times.
inline constexpr duration member_lifetime{14'000};
/// Reading n rows each time costs every router n rows: the pause grows with
/// their number, so that the bytes a second do not.
inline constexpr duration read_pause_per_member{50};
/// Rows of dead routers are removed after this; a paused router that wakes up
/// writes its row anew.
inline constexpr duration row_lifetime{60'000};

/// When a router that starts writes its first heartbeat. The rows of a fleet
/// stand in one partition, which takes one write after the other: of hundreds
/// that start and write together many would not be answered in time, and not be
/// counted as alive. Thread safe.
duration first_heartbeat_after(incarnation_id const& self);

/// Takes in all heartbeat rows of one read. A row counts as alive by its
/// change, seen with this router's clock, since the clocks of others jump. A
/// pause in which reads failed counts as one heartbeat: renewals may have
/// failed in it as well. Thread safe.
roster seen(roster known, std::vector<heartbeat> const& rows,
            call_times const& read);

/// Routers that were alive by the latest read, this one included; at least 1.
/// Thread safe.
std::int64_t alive(roster const& known);

/// The VMs of these: a router that took the place of a dead one counts once.
/// Thread safe.
std::int64_t alive_vms(roster const& known);

/// The live routers by the address for messages: of two at one address, the
/// one that was seen to change last. Thread safe.
std::map<std::string, incarnation_id> live_routers(roster const& known);

/// Routers whose rows `self` removes: each dead one is left to the live router
/// that comes next by its id. Were each to remove them all, a fleet that was
/// restarted would send the square of its number in writes at one moment, and
/// the store would refuse other calls. Thread safe.
std::vector<incarnation_id> dead(roster const& known,
                                 incarnation_id const& self);

/// The time to the next read of all rows. Thread safe.
duration read_interval(roster const& known);

} // namespace caperpath::fleet

#endif
