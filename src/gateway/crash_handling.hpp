#ifndef CAPERPATH_SRC_GATEWAY_CRASH_HANDLING_HPP
#define CAPERPATH_SRC_GATEWAY_CRASH_HANDLING_HPP

#include "gateway/exchange.hpp"

/// How the pipeline handles requests that crash servers.
namespace caperpath::gateway
{

/// The rejection if the current evidence forbids to send the request; nothing
/// if it may be sent.
std::optional<rejection> check_crash_evidence(exchange& current);

/// Releases the probation slot, so that another attempt with the same
/// fingerprint may be sent.
void end_probation(exchange& current);

/// True if the request may have crashed a server, by the current evidence.
bool is_suspect(exchange const& current);

/// Records the current evidence. Call before each send.
void record_evidence_at_send(exchange& current);

/// The servers tried so far and those that process another suspect: if two
/// suspects share a server that crashes, both are blamed.
std::vector<backend_server_id> servers_to_avoid(exchange const& current);

/// Call if the connection to `server` ended before the response was complete.
/// Probes whether the server crashed, and records a crash.
asio::awaitable<void> probe_for_crash(exchange& current,
                                      backend_server_id const& server);

/// Call when the whole response was sent to the caller.
void record_complete_response(exchange& current);

/// True if this router must not retry the request.
bool forbids_retry(exchange const& current);

} // namespace caperpath::gateway

#endif
