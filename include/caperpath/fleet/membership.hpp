#ifndef CAPERPATH_FLEET_MEMBERSHIP_HPP
#define CAPERPATH_FLEET_MEMBERSHIP_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Fleet membership: the live routers, from their heartbeat rows in the store.
/// Pure.
namespace caperpath::fleet
{

/// A router's heartbeat row as read from the store.
struct heartbeat
{
    incarnation_id router;
    std::string address;     ///< "IP:port" for messages from other routers
    std::uint64_t version{}; ///< of the row; changes with each heartbeat

    friend bool operator==(heartbeat const&, heartbeat const&) = default;
};

/// When a call to the store was sent and when its response was received. The
/// response was true at some moment between the two. Immutable value.
struct call_times
{
    instant sent{};
    instant received{};

    friend bool operator==(call_times const&, call_times const&) = default;
};

/// One router, as its heartbeat row shows it.
struct member
{
    std::string address;
    std::uint64_t version{};
    instant changed_at{};  ///< end of the first read with this version
    instant observed_at{}; ///< value of `membership::observed` at that time

    friend bool operator==(member const&, member const&) = default;
};

/// The routers in the latest read of the heartbeat rows.
struct membership
{
    std::map<incarnation_id, member> members;
    /// Routers missing from a read, with the time the read ended.
    std::map<incarnation_id, instant> removed;
    /// Time for which this router has observed the rows: the sum of the
    /// intervals between successful reads, where a longer gap (an outage of the
    /// store) counts as `heartbeat_interval`. Lifetimes of rows use it: on the
    /// clock they would expire during an outage, when no renewal can be read,
    /// and every router would count the others as dead.
    instant observed{};
    call_times read; ///< the latest read; 0 before the first

    friend bool operator==(membership const&, membership const&) = default;
};

inline constexpr duration heartbeat_interval{4'000};
/// Tolerates three missed heartbeats, since the store can be unavailable for
/// seconds: with a read every 4 s, a row that is unchanged for three reads (12
/// s) is live, one that is unchanged for four (16 s) is dead.
inline constexpr duration member_lifetime{14'000};
/// Each read transfers all n rows, so the interval grows with n to keep the
/// bytes per second constant.
inline constexpr duration read_pause_per_member{50};
/// Rows of dead routers are removed after this time; a paused router that
/// resumes writes its row again.
inline constexpr duration row_lifetime{60'000};

/// Delay of a starting router's first heartbeat. All rows are in one partition,
/// which serialises writes: if hundreds of routers wrote at the same time, many
/// writes would time out and their routers would not be counted as alive.
/// Thread safe.
duration first_heartbeat_after(incarnation_id const& self);

/// The state after one read of all heartbeat rows. The age of a row counts from
/// its last change on this router's clock, since other routers' clocks may
/// jump. If two reads are further apart than `read_interval` +
/// `heartbeat_interval`, the age grows by `heartbeat_interval` only, since
/// renewals may have failed as well. Thread safe.
membership update_membership(membership known,
                             std::vector<heartbeat> const& rows,
                             call_times const& read);

/// The number of routers alive at the latest read, this one included; at least
/// 1. Thread safe.
std::int64_t live_router_count(membership const& known);

/// The number of VMs with a live router; at least 1. Counts addresses, since
/// all routers of a VM (the old and the new one during a restart) have the same
/// one. Thread safe.
std::int64_t alive_vms(membership const& known);

/// The live routers by their address for messages. Of two at one address, the
/// one whose row changed last. Thread safe.
std::map<std::string, incarnation_id> live_routers(membership const& known);

/// The dead routers whose rows `self` removes: those for which `self` is the
/// next live router by id. If every router removed all of them, a restarted
/// fleet of n routers would send n x n writes at once, and the store would
/// reject other calls. Thread safe.
std::vector<incarnation_id> dead_routers_to_remove(membership const& known,
                                                   incarnation_id const& self);

/// The interval between two reads of all rows. Thread safe.
duration read_interval(membership const& known);

} // namespace caperpath::fleet

#endif
