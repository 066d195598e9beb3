#ifndef CAPERPATH_SRC_GATEWAY_CRASH_STEP_HPP
#define CAPERPATH_SRC_GATEWAY_CRASH_STEP_HPP

#include "gateway/exchange.hpp"

/// What a request's way has to do with requests that crash servers.
namespace caperpath::gateway
{

/// Why the request is not sent, by what is known of it now; nothing if it is.
std::optional<refusal> refuse_for_crashes(exchange& of);

/// Lets the next attempt of the same request go.
void end_probation(exchange& of);

/// Call before each send: remembers what was known of the request by then.
void note_sent(exchange& of);

/// Servers that a suspected request should not share with another suspect:
/// whichever causes a crash, both would be held for it.
std::vector<backend_server_id> servers_to_avoid(exchange const& of);

/// The connection to `server` ended before the answer did. Finds out whether
/// the server crashed, and notes it.
asio::awaitable<void> check_for_crash(exchange& of,
                                      backend_server_id const& server);

/// A whole answer went to the caller.
void note_whole_answer(exchange& of);

/// True when the request is not to be repeated by this router.
bool stops_repeats(exchange const& of);

} // namespace caperpath::gateway

#endif
