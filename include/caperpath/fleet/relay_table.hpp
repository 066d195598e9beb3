#ifndef CAPERPATH_FLEET_RELAY_TABLE_HPP
#define CAPERPATH_FLEET_RELAY_TABLE_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Chooses the router through which to reach a server whose direct path has
/// failed. Plain values; functions that depend on time take it as an argument.
namespace caperpath::fleet
{

/// The other routers, as relays. Value type.
struct relay_table
{
    /// Open uses by this router, by the router's address for messages.
    std::map<std::string, std::int64_t> open;
    /// When a router of `open` was found to have left.
    std::map<std::string, instant> left;
    /// Until when a router is not asked for a path to a service; an empty
    /// service stands for all.
    std::map<std::pair<std::string, service_id>, instant> avoided_until;

    friend bool operator==(relay_table const&, relay_table const&) = default;
};

/// Replaces the live routers. Uses of those that remain stay counted. A router
/// that left is kept for `former_relay_time`: it may have restarted already.
/// Thread safe.
void set_relays(relay_table& table, std::vector<std::string> const& addresses,
                instant now);

/// Records that the router at `address` has no path to the servers of
/// `service`, or relays nothing at all if `service` is empty. Thread safe.
void avoid_relay(relay_table& table, std::string const& address,
                 service_id const& service, instant now);

/// The router to ask for a path to a server of `service`; empty if all are
/// avoided or in `tried`. One that left is asked after all others. Each router
/// `self` prefers a few others by hash, so that partitioned routers spread over
/// the fleet, and of these the one that it uses least. Thread safe.
std::optional<std::string> choose_relay(relay_table const& table,
                                        service_id const& service,
                                        std::string_view self,
                                        std::vector<std::string> const& tried,
                                        instant now);

/// Short, since a router that was partitioned or stopping may soon relay again.
inline constexpr duration relay_avoidance{1'000};

/// A restart takes some seconds, and other routers learn of it some later.
inline constexpr duration former_relay_time{30'000};

} // namespace caperpath::fleet

#endif
