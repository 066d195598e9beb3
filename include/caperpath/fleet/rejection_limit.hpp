#ifndef CAPERPATH_FLEET_REJECTION_LIMIT_HPP
#define CAPERPATH_FLEET_REJECTION_LIMIT_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// Keeps brittle servers from rejecting too much. A brittle server falls over
/// if it rejects more requests in a second than its service names, from all
/// routers together. Whether it has room is known only from its response, so
/// the fleet bounds the sends whose outcome is not known yet, together with
/// those that were rejected in the last second. For each server one router,
/// chosen by hash, grants these sends; a second one stands in for it. Pure.
namespace caperpath::fleet
{

/// What the servers of a service said last of the rejections that they take.
/// Immutable value.
struct rejection_limit
{
    double per_second{};
    instant named_at{}; ///< when the latest request was sent whose response
                        ///< named it

    friend bool operator==(rejection_limit const&,
                           rejection_limit const&) = default;
};

/// The services whose servers are brittle.
using rejection_limits = std::map<service_id, rejection_limit>;

/// Records what the response to a request that was sent at `sent_at` said;
/// empty if it named no limit. One server speaks for all of its service.
/// Returns true if the limit of the service changed. Thread safe.
bool note_rejection_limit(rejection_limits& all, service_id const& service,
                          std::optional<double> per_second, instant sent_at);

/// The most sends that two routers grant at a time for one server.
/// Immutable value.
struct unconfirmed_send_shares
{
    std::int64_t first{};     ///< of the router that is first by hash
    std::int64_t stands_in{}; ///< of one that stands in, or is not settled

    friend bool operator==(unconfirmed_send_shares const&,
                           unconfirmed_send_shares const&) = default;
};

/// Divides the rejections that a server takes in a second. Both parts are at
/// least one, so that a service with a lower limit is still served. Thread
/// safe.
unconfirmed_send_shares share_rejections(double per_second);

/// What became of a granted send.
enum class send_outcome : std::uint8_t
{
    not_sent,
    accepted, ///< the server began to respond
    rejected,
    unknown ///< the server may have rejected it without telling
};

/// A send that the server may still reject, or that it rejected recently.
struct unconfirmed_send
{
    std::uint64_t id{}; ///< differs between sends
    instant granted_at{};
    std::optional<instant> rejected_until; ///< it counts until then

    friend bool operator==(unconfirmed_send const&,
                           unconfirmed_send const&) = default;
};

/// The sends to one server at the router that grants them. Value type.
struct unconfirmed_sends
{
    std::vector<unconfirmed_send> all;

    friend bool operator==(unconfirmed_sends const&,
                           unconfirmed_sends const&) = default;
};

/// Immutable value.
struct unconfirmed_send_grant
{
    bool granted{false};
    duration wait{}; ///< if it is not: when to ask again, from now on

    friend bool operator==(unconfirmed_send_grant const&,
                           unconfirmed_send_grant const&) = default;
};

/// Grants send `id` unless `most` are unconfirmed or were rejected recently.
/// Thread safe.
unconfirmed_send_grant grant_unconfirmed(unconfirmed_sends& sends,
                                         std::uint64_t id, std::int64_t most,
                                         instant now);

/// Records the outcome of send `id`. A server that responded to one request has
/// accepted those that reached it some time before, since it rejects at once.
/// Thread safe.
void note_outcome(unconfirmed_sends& sends, std::uint64_t id,
                  send_outcome outcome, instant now);

/// A rejection is sent at once and arrives within this time of the grant, also
/// from another region.
inline constexpr duration rejection_delay{50};
/// How long a rejection counts: the second, and the difference between the
/// times at which the server and the granter saw two of them.
inline constexpr duration rejection_lifetime{1'100};
/// A send whose outcome nobody reports counts as if it was rejected at once.
inline constexpr duration longest_unconfirmed =
    rejection_delay + rejection_lifetime;

} // namespace caperpath::fleet

#endif
