#ifndef CAPERPATH_SRC_GATEWAY_RELAYS_RELAY_MESSAGE_HPP
#define CAPERPATH_SRC_GATEWAY_RELAYS_RELAY_MESSAGE_HPP

#include <caperpath/base/error.hpp>
#include <caperpath/base/id.hpp>

#include <boost/beast/core/flat_buffer.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// The messages that open a connection to a backend server through another
/// router: one request, one reply, and after a reply `connected` the bytes of
/// the connection.
namespace caperpath::gateway
{

/// Asks for a connection to `server`.
struct relay_request
{
    backend_server_id server;
    bool probe_only{false}; ///< close the connection after the reply
    /// The request could not be sent again: silence alone must not end it.
    /// Routers that do not know this field leave it out.
    bool outlasts_silence{false};

    friend bool operator==(relay_request const&,
                           relay_request const&) = default;
};

enum class relay_outcome : std::uint8_t
{
    connected,
    refused,        ///< the server's address refused the connection
    silent,         ///< no response from the server's address
    unknown_server, ///< also one that is draining
    cut_off,        ///< the relay reaches no server of the service
    busy,
    stopping
};

struct relay_reply
{
    relay_outcome outcome{relay_outcome::busy};
    /// The relay reached another server of the service meanwhile, so a failure
    /// is not one of its own link.
    bool proven{false};

    friend bool operator==(relay_reply const&, relay_reply const&) = default;
};

/// A single word, for logs. Thread safe.
std::string_view to_text(relay_outcome outcome);

/// Encode a message with its length in front. Thread safe.
std::string encode(relay_request const& message);
std::string encode(relay_reply const& message);

/// Consumes a message from `input`. Empty if it is not complete yet; error
/// `invalid` if it is malformed. Thread safe for different inputs.
result<std::optional<relay_request>>
take_relay_request(boost::beast::flat_buffer& input);
result<std::optional<relay_reply>>
take_relay_reply(boost::beast::flat_buffer& input);

} // namespace caperpath::gateway

#endif
