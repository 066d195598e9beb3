#ifndef CAPERPATH_FLEET_SEND_LIMIT_HPP
#define CAPERPATH_FLEET_SEND_LIMIT_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

/// Keeps the rate of requests that a server takes from all routers together.
/// For each server one router, chosen by hash, grants every send of the fleet;
/// a second one stands in for it.
/// Pure.
namespace caperpath::fleet
{

/// What a server said of its limit. Immutable value.
struct named_limit
{
    double per_second{}; ///< 0: the server names none
    instant heard_at{};  ///< when the response came that said so

    friend bool operator==(named_limit const&, named_limit const&) = default;
};

/// The sends to one server at the router that grants them. Value type.
struct send_schedule
{
    named_limit limit;
    double next_ms{}; ///< earliest time of the next send

    friend bool operator==(send_schedule const&,
                           send_schedule const&) = default;
};

/// The reply to a router that wants to send. Immutable value.
struct send_grant
{
    bool granted{false};
    /// If granted, when to send, from now on; otherwise when to ask again.
    duration wait{};

    friend bool operator==(send_grant const&, send_grant const&) = default;
};

struct granted_send
{
    send_schedule schedule;
    send_grant grant;

    friend bool operator==(granted_send const&, granted_send const&) = default;
};

/// For this long after its start a router grants half of the rate: until others
/// have read that it is there, the router before it may grant as well.
inline constexpr duration granter_settle_time{10'000};

/// Routers that may grant the sends to a server: the first one, and the one
/// that stands in for it.
inline constexpr std::size_t most_granters = 2;

/// The more recent of two statements. Thread safe.
named_limit newer_limit(named_limit const& a, named_limit const& b);

/// Begins to grant. The first send waits for one interval: another router may
/// have granted the latest one just now. Thread safe.
send_schedule start_send_schedule(named_limit const& limit, instant now);

/// The state after the limit was named again. Thread safe.
send_schedule update_limit(send_schedule of, named_limit const& limit,
                           instant now);

/// Grants the next send if it may happen within `longest`. The sends of
/// different calls are an interval apart, so a pause earns no burst. `part` of
/// the rate is granted. Thread safe. @pre `part` is positive.
granted_send grant_send(send_schedule of, instant now, duration longest,
                        double part = 1.0);

/// The time between two sends at a rate, to the next millisecond. Thread safe.
duration send_interval(double per_second);

/// The routers that may grant the sends to `server`, in the order in which they
/// are asked; the same at all routers that know the same others. Thread safe.
std::vector<std::string> granters_of(backend_server_id const& server,
                                     std::vector<std::string> const& routers);

/// The part of the rate that a router grants; 0: nothing. `own_place` is its
/// place among the granters by its own view, `asked_place` by that of the
/// router that asks. Only the first one grants the whole rate. A router that
/// stands in, that has just started, or that is not first in both views grants
/// half: the other one may grant as well, and one and a half times the rate is
/// the most that a server takes. Thread safe.
double part_to_grant(std::optional<std::size_t> own_place,
                     std::size_t asked_place, bool settling);

} // namespace caperpath::fleet

#endif
