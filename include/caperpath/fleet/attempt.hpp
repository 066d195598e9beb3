#ifndef CAPERPATH_FLEET_ATTEMPT_HPP
#define CAPERPATH_FLEET_ATTEMPT_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/fleet/site.hpp>

#include <cstdint>

/// What follows from the way one attempt at a server ended. Pure functions.
namespace caperpath::fleet
{

/// How an attempt ended.
enum class attempt_end
{
    answered,     ///< a whole answer of a success or of the request's own fault
    failed,       ///< the server answered that its run failed
    not_reached,  ///< no connection was made: nothing was sent
    not_run,      ///< the server says that it did not run the request
    wrong_server, ///< another server has the address; it did not run it
    in_doubt,     ///< sent, and no whole answer: it may have run
    expired,      ///< its time is over
    caller_gone   ///< the caller has left
};

/// Where a request stands. Immutable value.
struct attempt_state
{
    request_kind kind{request_kind::non_idempotent};
    bool resumable{false};
    std::int64_t runs{0};        ///< servers that ran it or may have run it
    std::int64_t max_servers{1}; ///< how many may
    std::int64_t sends{0};       ///< attempts of any result so far

    friend bool operator==(attempt_state const&,
                           attempt_state const&) = default;
};

/// The most attempts of any result. Each one that did not run costs a round
/// trip of the caller's time; after this many the servers are in a state where
/// waiting serves better.
inline constexpr std::int64_t most_sends = 4;

/// True when the request may run more than once.
bool may_run_again(attempt_state const& state);

/// True when the request may be sent to another server after `end`. Thread
/// safe. The limit on repeats of the whole fleet is the caller's to ask.
bool may_send_again(attempt_state const& state, attempt_end end);

/// The status of the final answer to a request that nobody answered.
/// A status that says "not run" only when no server can have run it: a caller
/// told so sends it again, and an order would be placed twice. Thread safe.
int final_status(attempt_state const& state, attempt_end end);

} // namespace caperpath::fleet

#endif
