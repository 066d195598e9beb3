#ifndef CAPERPATH_BUDGET_RECOVERY_ROUND_HPP
#define CAPERPATH_BUDGET_RECOVERY_ROUND_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/budget/recovery.hpp>
#include <caperpath/platform/table.hpp>

#include <string>
#include <vector>

namespace caperpath::budget
{

/// Who looks for dead holders, and how patiently. Immutable value.
struct recovery_options
{
    incarnation_id self;
    std::string address; ///< "IP:port" that this process has bound
    /// An incarnation counts as destroyed when every list for this long lacks
    /// it; longer than the list lags and its replicas differ.
    duration list_lag{30'000};

    friend bool operator==(recovery_options const&,
                           recovery_options const&) = default;
};

/// What a router remembers from round to round. Immutable value.
struct recovery_memory
{
    bool predecessors_done{false};
    death_watch watch;

    friend bool operator==(recovery_memory const&,
                           recovery_memory const&) = default;
};

struct recovery_round
{
    recovery_memory memory;
    std::vector<death_proof> recovered;
    std::vector<error> faults; ///< steps that the next round repeats
};

/// Looks once for holders that are proved dead and takes back their shares:
/// those that had this process's own address, and those that the platform's
/// list showed once and no longer shows. Every router may do it at the same
/// time. Thread safe; blocks.
recovery_round run_recovery_round(platform::port const& port,
                                  recovery_options const& options,
                                  recovery_memory memory, instant now);

} // namespace caperpath::budget

#endif
