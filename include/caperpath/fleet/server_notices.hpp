#ifndef CAPERPATH_FLEET_SERVER_NOTICES_HPP
#define CAPERPATH_FLEET_SERVER_NOTICES_HPP

#include <caperpath/base/clock.hpp>

#include <optional>

/// What a server says of itself in its responses: that it leaves, or that it
/// wants no requests for some time. A response is newer than any entry in the
/// store, so an entry does not undo it; of two responses, the one to the later
/// request counts. Plain values; functions that depend on time take it as an
/// argument.
namespace caperpath::fleet
{

/// Of one process of a server. Value type.
struct server_notices
{
    /// When the latest request was sent whose response said that the server
    /// leaves; empty if it does not.
    std::optional<instant> leaving_at{};
    instant rests_until{-1'000'000};

    friend bool operator==(server_notices const&,
                           server_notices const&) = default;
};

/// Records whether the response to a request that was sent at `sent_at` said
/// that the server leaves. Thread safe.
server_notices note_leaving(server_notices notices, bool leaves,
                            instant sent_at);

/// Records that the server wants no requests from this router for `rest`. A
/// negative or very long one is bounded. Thread safe.
server_notices note_rest(server_notices notices, duration rest, instant now);

/// The rest that is left; 0 if there is none. Thread safe.
duration rest_left(server_notices const& notices, instant now);

/// The longest rest of a server that is respected.
inline constexpr duration longest_rest{60'000};

} // namespace caperpath::fleet

#endif
