#ifndef CAPERPATH_BASE_ADAPTIVE_TIMEOUT_HPP
#define CAPERPATH_BASE_ADAPTIVE_TIMEOUT_HPP

#include <caperpath/base/clock.hpp>

/// Computes the timeout of a short call from recent response times.
///
/// With a fixed timeout, long enough for a slow store, a router would wait that
/// long for each lost response of a fast one; until then it does not know
/// whether its write took effect and may not spend more. The timeout therefore
/// follows the response times, and doubles with each call without a response so
/// that it soon suffices for a store that has become slow.
namespace caperpath
{

/// Value type.
struct adaptive_timeout
{
    double usual_ms{10}; ///< smoothed recent response time
    int unanswered{};    ///< consecutive calls without a response

    friend bool operator==(adaptive_timeout const&,
                           adaptive_timeout const&) = default;
};

/// The timeout of the next call: at least 200 ms, at most `longest`. Thread
/// safe.
duration next_call_timeout(adaptive_timeout const& of, duration longest);

/// The state after a response that took `took`. Thread safe.
adaptive_timeout after_response(adaptive_timeout of, duration took);

/// The state after a call without a response in time. Thread safe.
adaptive_timeout after_timeout(adaptive_timeout of);

} // namespace caperpath

#endif
