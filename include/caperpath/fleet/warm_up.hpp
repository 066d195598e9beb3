#ifndef CAPERPATH_FLEET_WARM_UP_HPP
#define CAPERPATH_FLEET_WARM_UP_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// Keeps the rate of requests to servers that warm up after a start. A cold
/// server crashes if all routers together send it too many, so the bound is on
/// the fleet. Cold servers get requests only if no warm one has room, and then
/// only from a few routers, chosen by hash; each of these has its own part of
/// the bound, so that no router needs to know what others send. Pure.
namespace caperpath::fleet
{

/// What a service says of its cold servers. Immutable value.
struct warm_up_limit
{
    duration lasts{};    ///< how long a server is cold; 0: never
    double per_second{}; ///< requests that a cold server takes

    friend bool operator==(warm_up_limit const&,
                           warm_up_limit const&) = default;
};

/// How far the rate may exceed `warm_up_limit::per_second` in any second: by
/// this factor and a fixed number of requests. Immutable value.
struct warm_up_tolerance
{
    double factor{1.0};
    double requests{};

    friend bool operator==(warm_up_tolerance const&,
                           warm_up_tolerance const&) = default;
};

/// The most requests that all routers may send to a cold server in one second.
/// Thread safe.
std::int64_t most_cold_sends(warm_up_limit const& limit,
                             warm_up_tolerance const& tolerance);

/// The part of `most` that the router `self` may send to `server`; 0 if it is
/// not one of its senders. All parts by one list of routers sum to at most half
/// of `most`: while the fleet changes, two lists are in use. Thread safe.
std::int64_t cold_send_share(backend_server_id const& server,
                             std::vector<std::string> const& routers,
                             std::string const& self, std::int64_t most);

/// How long a router waits until it sends a prompt to the same server again, so
/// that one that all of `routers` send takes half of the bound; 0 if the
/// service has none. Thread safe.
duration pause_of_hot_prompts(warm_up_limit const& limit,
                              warm_up_tolerance const& tolerance,
                              std::int64_t routers);

/// The latest sends of this router to one cold server, oldest first. Value
/// type.
struct cold_sends
{
    std::int64_t share{}; ///< most in one second
    std::vector<instant> sent;

    friend bool operator==(cold_sends const&, cold_sends const&) = default;
};

/// True if one more request may be sent now. Thread safe.
bool may_send_cold(cold_sends const& sends, instant now);

/// Records a send. Thread safe.
cold_sends note_cold_send(cold_sends sends, instant now);

} // namespace caperpath::fleet

#endif
