#ifndef CAPERPATH_SRC_GATEWAY_SERVERS_SERVER_NOTICE_HPP
#define CAPERPATH_SRC_GATEWAY_SERVERS_SERVER_NOTICE_HPP

#include "gateway/core.hpp"

#include <string>

/// What servers say of themselves in their responses.
namespace caperpath::gateway
{

/// A response to a request that this router sent.
struct heard_response
{
    backend_server_id server; ///< to which the request was sent
    response_facts const& facts;
    instant sent_at{};        ///< the request
    std::string const& relay; ///< that forwarded it; empty if it was direct
};

/// Records what the response says of its server. Notifies the other routers
/// that it leaves, and a relay that it wants a rest: the server sees the relay
/// as the sender. Loop thread only.
void note_response(core& shared, heard_response const& response);

/// Handles a datagram of another router. Loop thread only.
void receive_server_notice(core& shared, std::string const& from,
                           std::string const& bytes);

} // namespace caperpath::gateway

#endif
