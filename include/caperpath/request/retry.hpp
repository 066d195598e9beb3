#ifndef CAPERPATH_REQUEST_RETRY_HPP
#define CAPERPATH_REQUEST_RETRY_HPP

#include <caperpath/base/clock.hpp>

#include <cstdint>

namespace caperpath::request
{

/// Bounds retries to a share of recent requests, so that an outage is never
/// multiplied: with every attempt failing, load grows by `percent`, not by the
/// number of attempts. Amounts are hundredths of a retry. Immutable value.
struct retry_budget
{
    /// A tenth of recent traffic may be retried.
    static constexpr std::int64_t percent = 10;
    static constexpr std::int64_t cost = 100;
    /// Ten retries in reserve, so that a quiet router may still retry.
    static constexpr std::int64_t most = 10 * cost;

    std::int64_t credit{most};

    friend bool operator==(retry_budget const&, retry_budget const&) = default;
};

/// Thread safe, pure. A first attempt was made.
retry_budget earned(retry_budget const& state);

/// Thread safe, pure. True when a retry may be made now.
bool may_retry(retry_budget const& state);

/// Thread safe, pure. A retry was made. @pre `may_retry(state)`
retry_budget spent(retry_budget const& state);

/// Thread safe, pure. Wait before attempt `attempt` (2 is the first retry):
/// exponential from 10 ms to 1 s, drawn evenly from its upper half by `random`,
/// so that nine routers that failed together don't return together.
duration backoff(int attempt, std::uint64_t random);

/// Thread safe, pure. A `Retry-After` between 1 s and `most` that spreads the
/// return of refused callers.
duration spread_retry_after(duration most, std::uint64_t random);

/// Follows the gaps between an engine's tokens and says how long a silence is
/// too long. Immutable value.
struct gap_tracker
{
    /// Before any gap was seen: a first token may be queued behind others.
    static constexpr duration initial_bound{5'000};
    /// Twice the largest recent gap, which stands for the p99 gap: work goes
    /// on elsewhere within 3 gaps. Below 50 ms scheduling noise would decide.
    static constexpr std::int64_t gap_factor = 2;
    static constexpr duration least{50};
    static constexpr duration most{10'000};
    /// The largest gap fades by 1/64 a token, so one pause is soon forgotten.
    static constexpr std::int64_t decay = 64;

    std::int64_t largest_us{0}; ///< decaying maximum in microseconds
    std::int64_t seen{0};

    friend bool operator==(gap_tracker const&, gap_tracker const&) = default;
};

/// Thread safe, pure. A token came `gap` after the one before it.
gap_tracker observed(gap_tracker const& state, duration gap);

/// Thread safe, pure. A silence longer than this means that the connection has
/// been lost, with at least eight gaps seen; before that `initial_bound`.
duration silence_bound(gap_tracker const& state);

} // namespace caperpath::request

#endif
