#ifndef CAPERPATH_FLEET_ATTEMPT_HPP
#define CAPERPATH_FLEET_ATTEMPT_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/fleet/site.hpp>

#include <cstdint>

/// Decides what follows from the result of one attempt at a server: one send of
/// a request to one server. Pure functions.
namespace caperpath::fleet
{

/// How an attempt ended.
enum class attempt_outcome
{
    responded,    ///< complete response: success, or an error of the request
    failed,       ///< the server responded that its run failed
    not_reached,  ///< no connection: nothing was sent
    not_run,      ///< the server reports that it did not run the request
    wrong_server, ///< another server has the address and did not run it
    in_doubt,     ///< sent without a complete response: it may have run
    expired,      ///< the deadline of the request has passed
    caller_gone   ///< the caller has disconnected
};

/// The progress of a request. Immutable value.
struct attempt_state
{
    request_kind kind{request_kind::non_idempotent};
    bool resumable{false};
    std::int64_t runs{0};        ///< servers that ran or may have run it
    std::int64_t max_servers{1}; ///< the most servers that may run it
    std::int64_t sends{0};       ///< attempts so far, of any result

    friend bool operator==(attempt_state const&,
                           attempt_state const&) = default;
};

/// The most attempts of any result. Each attempt that did not run costs the
/// caller a round trip; after this many the servers are overloaded or failing,
/// and the caller should wait before it retries.
inline constexpr std::int64_t max_sends = 4;

/// True if the request may run more than once.
bool may_run_again(attempt_state const& state);

/// True if the request may be sent to another server after `end`. The calling
/// code must also check the fleet's retry limit. Thread safe.
bool may_try_another_server(attempt_state const& state, attempt_outcome end);

/// The HTTP status of the final response to a request without a response from a
/// server. It says "not run" (503) only if no server can have run the request:
/// the caller then retries, and a request that did run would take effect twice.
/// Thread safe.
int final_status(attempt_state const& state, attempt_outcome end);

} // namespace caperpath::fleet

#endif
