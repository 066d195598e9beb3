#ifndef CAPERPATH_FLEET_UPLINK_HPP
#define CAPERPATH_FLEET_UPLINK_HPP

#include <caperpath/base/clock.hpp>

#include <cstdint>

/// Detects that a router's own network link is saturated. A silent store or
/// silent servers alone prove nothing, since either may be down. A link that
/// callers saturate fails both at once; the router then works with an old
/// configuration while other routers could serve its callers. Plain values;
/// functions that depend on time take it as an argument.
namespace caperpath::fleet
{

/// Results of connects to servers in one window of time.
struct connect_results
{
    std::int64_t answered{};
    std::int64_t silent{}; ///< connects without a response in time

    friend bool operator==(connect_results const&,
                           connect_results const&) = default;
};

/// Value type.
struct uplink
{
    duration unconfirmed_for{}; ///< since the store confirmed the configuration
    instant updated_at{-1'000'000}; ///< initially before any time
    instant window_began{};
    connect_results current;
    connect_results previous;
    instant shedding_until{-1'000'000};

    friend bool operator==(uplink const&, uplink const&) = default;
};

/// Records that the store confirmed the newest configuration. Thread safe.
uplink note_configuration_confirmed(uplink link);

/// Records whether a server responded to a connect. Thread safe.
uplink note_connect_result(uplink link, bool answered, instant now);

/// Adds the time since the last call to `unconfirmed_for`, at most
/// `max_update_gap`: in a longer gap the process did not run, so a missing
/// confirmation says nothing about the link. Thread safe.
uplink advance_time(uplink link, instant now);

/// True if new callers should go to other routers: in the last `shedding_time`,
/// the configuration was unconfirmed for more than `max_configuration_age`
/// while most of the recent connects got no response. Thread safe.
bool sheds_callers(uplink const& link, instant now);

/// Twice the interval at which the store responds to a follower of an unchanged
/// configuration, and less than the time a configuration takes to come into
/// force.
inline constexpr duration max_configuration_age{1'200};

inline constexpr duration max_update_gap{200};

/// A load balancer removes a router after two failed probes, one second apart,
/// so it takes up to two seconds to react. Callers that returned
/// earlier would find the link still saturated.
inline constexpr duration shedding_time{4'000};

} // namespace caperpath::fleet

#endif
