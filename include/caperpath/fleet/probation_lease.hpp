#ifndef CAPERPATH_FLEET_PROBATION_LEASE_HPP
#define CAPERPATH_FLEET_PROBATION_LEASE_HPP

#include <caperpath/base/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

/// Lets one request on probation run at a time in the whole fleet. For each
/// suspect one router, chosen by hash, grants a lease to the request that may
/// run; a second one stands in for it.
/// Plain values; functions that depend on time take it as an argument.
namespace caperpath::fleet
{

/// Immutable value.
struct probation_lease
{
    std::uint64_t holder{}; ///< differs between requests
    instant until{};

    friend bool operator==(probation_lease const&,
                           probation_lease const&) = default;
};

/// The leases that one router granted, by suspect.
using probation_leases = std::map<std::string, probation_lease>;

/// Grants a lease for `probation_lease_time` unless another request holds one.
/// Returns false if it is not granted. Thread safe.
bool acquire_lease(probation_leases& all, std::string const& suspect,
                   std::uint64_t holder, instant now);

/// Ends the lease of `holder` after `pause`. Until then no other request gets
/// it. Thread safe.
void release_lease(probation_leases& all, std::string const& suspect,
                   std::uint64_t holder, instant now, duration pause);

/// A router that is lost or a request that runs longer does not hold up others.
inline constexpr duration probation_lease_time{3'000};
inline constexpr std::size_t most_probation_leases = 4'096;

} // namespace caperpath::fleet

#endif
