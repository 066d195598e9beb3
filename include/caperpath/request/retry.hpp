#ifndef CAPERPATH_REQUEST_RETRY_HPP
#define CAPERPATH_REQUEST_RETRY_HPP

#include <caperpath/base/clock.hpp>

#include <cstdint>

namespace caperpath::request
{

/// Limits retries to a percentage of recent requests: if every attempt fails,
/// the load grows by `percent` and not by the number of attempts. Amounts are
/// hundredths of a retry. Immutable value.
struct retry_budget
{
    /// Retries per hundred recent requests.
    static constexpr std::int64_t percent = 10;
    static constexpr std::int64_t cost = 100;
    /// Ten retries in reserve, so that a router with little traffic can retry.
    static constexpr std::int64_t max_credit = 10 * cost;

    std::int64_t credit{max_credit};

    friend bool operator==(retry_budget const&, retry_budget const&) = default;
};

/// Thread safe, pure. Adds the credit for a first attempt.
retry_budget credit_request(retry_budget const& state);

/// Thread safe, pure. Returns true if the credit covers a retry.
bool may_retry(retry_budget const& state);

/// Thread safe, pure. Deducts the cost of a retry. @pre `may_retry(state)`
retry_budget debit_retry(retry_budget const& state);

/// Thread safe, pure. Returns the wait before attempt `attempt` (2 is the first
/// retry): exponential from 10 ms to 1 s, with `random` jitter over the upper
/// half, so that routers that failed together do not retry together.
duration backoff(int attempt, std::uint64_t random);

/// Thread safe, pure. Returns a random `Retry-After` between 1 s and `most`, so
/// that rejected callers do not return together.
duration spread_retry_after(duration most, std::uint64_t random);

/// Tracks the gaps between an engine's tokens to determine the silence after
/// which its connection counts as lost. Immutable value.
struct gap_tracker
{
    /// Used until enough gaps are known: the first token may wait in a queue.
    static constexpr duration initial_timeout{5'000};
    /// Twice the largest recent gap, an estimate of the p99 gap, so that work
    /// continues on another server within 3 gaps.
    static constexpr std::int64_t gap_factor = 2;
    /// A shorter limit would mistake scheduling delays for a lost connection.
    static constexpr duration min_timeout{50};
    static constexpr duration max_timeout{10'000};
    /// The largest gap decays by 1/64 per token, so one pause has a short
    /// effect.
    static constexpr std::int64_t decay = 64;

    std::int64_t largest_us{0}; ///< decaying maximum in microseconds
    std::int64_t gap_count{0};

    friend bool operator==(gap_tracker const&, gap_tracker const&) = default;
};

/// Thread safe, pure. Records a token that came `gap` after the previous one.
gap_tracker record_gap(gap_tracker const& state, duration gap);

/// Thread safe, pure. Returns the silence after which the connection counts as
/// lost: `initial_timeout` until eight gaps were seen, then based on the gaps.
duration silence_timeout(gap_tracker const& state);

} // namespace caperpath::request

#endif
