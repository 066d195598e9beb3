#include <caperpath/fleet/readiness.hpp>

namespace caperpath::fleet
{

namespace
{

/// A router without a first share of some budget serves the other customers.
constexpr duration longest_wait_for_shares{1'500};
/// Without these rows it would send requests that others know to crash servers,
/// and serve all others.
constexpr duration longest_wait_for_crashes{3'000};

} // namespace

bool may_take_callers(start_progress const& so_far)
{
    // A router that comes back while the store is out of its reach would refuse
    // callers whom others can serve.
    if (!so_far.knows_a_budget)
    {
        return false;
    }
    auto const since = so_far.since_configuration;
    auto const waits_for_crashes = !so_far.knows_crashes &&
                                   so_far.store_reachable &&
                                   since < longest_wait_for_crashes;
    auto const waits_for_shares =
        !so_far.has_shares && since < longest_wait_for_shares;
    return !waits_for_crashes && !waits_for_shares;
}

} // namespace caperpath::fleet
