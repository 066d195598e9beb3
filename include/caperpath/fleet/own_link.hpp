#ifndef CAPERPATH_FLEET_OWN_LINK_HPP
#define CAPERPATH_FLEET_OWN_LINK_HPP

#include <caperpath/base/clock.hpp>

#include <cstdint>

/// Whether a router's own link still carries what the router needs. Neither the
/// store nor the servers tell by themselves: either may be down. A link that
/// callers fill fails both at once, and the router then works on an old
/// configuration while others could serve its callers. Plain values; every
/// function takes the time.
namespace caperpath::fleet
{

/// How servers answered in one stretch of time.
struct server_answers
{
    std::int64_t answered{};
    std::int64_t silent{}; ///< connects that nothing came back to in time

    friend bool operator==(server_answers const&,
                           server_answers const&) = default;
};

/// Value type.
struct own_link
{
    duration unconfirmed_for{}; ///< since the store told the configuration
    instant looked{-1'000'000};
    instant stretch_began{};
    server_answers current;
    server_answers previous;
    instant rests_until{-1'000'000};

    friend bool operator==(own_link const&, own_link const&) = default;
};

/// The store has answered what the newest configuration is. Thread safe.
own_link confirmed(own_link of);

/// A server answered, or nothing came back to a connect. Thread safe.
own_link server_tried(own_link of, bool answered, instant now);

/// Takes the passage of time into account. Longer pauses between calls than
/// `longest_look` are those of a process that did not run, and say nothing of
/// its link. Thread safe.
own_link looked_at(own_link of, instant now);

/// True while new callers should go to other routers: the configuration is not
/// confirmed and most servers are silent, or were shortly before. Thread safe.
bool sheds_callers(own_link const& of, instant now);

/// Twice the time in which a follower of the configuration hears from the store
/// when nothing changes, within the time for it to come into force.
inline constexpr duration configuration_is_old{1'200};

inline constexpr duration longest_look{200};

/// A load balancer takes about two seconds to notice. Callers who came back
/// earlier would find the link as they left it.
inline constexpr duration link_rest{4'000};

} // namespace caperpath::fleet

#endif
