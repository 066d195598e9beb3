#ifndef CAPERPATH_SRC_GATEWAY_CRASHES_CRASH_HANDLING_HPP
#define CAPERPATH_SRC_GATEWAY_CRASHES_CRASH_HANDLING_HPP

#include "gateway/requests/exchange.hpp"

/// How the pipeline handles requests that crash servers.
namespace caperpath::gateway
{

/// The rejection if the current evidence forbids to send the request; nothing
/// if it may be sent.
std::optional<rejection> check_crash_evidence(exchange& current);

/// True if the request must not be sent as of now. Call right before the send:
/// evidence may come while a request waits.
bool forbids_send(exchange& current);

/// True if the request is on probation, by itself or for a property of its
/// prompt, and does not hold the lease for it.
bool needs_permit(exchange& current);

/// Asks for such a lease, and waits for a moment if another request holds it.
/// Returns a rejection if it did so for too long. Afterwards everything else
/// has to be checked again.
asio::awaitable<std::optional<rejection>> acquire_permit(exchange& current);

/// Releases what the request holds while it is on probation, so that another
/// one may be sent.
void end_probation(exchange& current);

/// True if the request may have crashed a server, by the current evidence.
bool is_suspect(exchange const& current);

/// Records the current evidence. Call before a server is chosen and again at
/// the send.
void record_evidence_at_send(exchange& current);

/// The servers tried so far and those that process another suspect: if two
/// suspects share a server that crashes, both are blamed.
std::vector<backend_server_id> servers_to_avoid(exchange const& current);

/// Call if the connection to `server` ended before the response was complete.
/// Probes whether the server crashed, and records a crash.
asio::awaitable<void> probe_for_crash(exchange& current,
                                      backend_server_id const& server);

/// Keeps what a crash of `server` would say of the request, until its entry
/// shows whether it still runs.
void watch_for_crash(exchange& current, backend_server_id const& server);

/// Call when the entry of `server` shows that another process runs there now,
/// one that was started at `born_ms`, or that none runs any more (empty),
/// though it did not say that it leaves. Records the crashes that probes did
/// not show.
void confirm_crashes(core& shared, backend_server_id const& server,
                     std::optional<std::int64_t> born_ms);

/// Call when the whole response was sent to the caller.
void record_complete_response(exchange& current);

/// True if this router must not retry the request.
bool forbids_retry(exchange const& current);

} // namespace caperpath::gateway

#endif
