#include <caperpath/fleet/readiness.hpp>

namespace caperpath::fleet
{

namespace
{

/// A router that lacks a share of one budget can serve the other customers.
constexpr duration max_wait_for_shares{1'500};
/// Without the crash record the router would send requests that are known to
/// crash servers, and without that of streams it resumes few of them, but it
/// can serve all other requests.
constexpr duration max_wait_for_records{3'000};

} // namespace

bool may_take_callers(start_progress const& so_far)
{
    // Before the first read of a budget, for example if the store cannot be
    // reached, this router would reject requests that other routers can serve.
    if (!so_far.has_read_a_budget)
    {
        return false;
    }
    auto const since = so_far.since_configuration;
    auto const waits_for_records = !so_far.knows_records &&
                                   so_far.store_reachable &&
                                   since < max_wait_for_records;
    auto const waits_for_shares =
        !so_far.has_shares && since < max_wait_for_shares;
    return !waits_for_records && !waits_for_shares;
}

} // namespace caperpath::fleet
