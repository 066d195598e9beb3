#ifndef CAPERPATH_SRC_FLEET_CRASH_SUSPECTS_HPP
#define CAPERPATH_SRC_FLEET_CRASH_SUSPECTS_HPP

#include <caperpath/fleet/crash_cause.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

/// The suspects of the crashes of one service, for the search for causes.
/// Thread safe.
namespace caperpath::fleet
{

/// A crash of the service under investigation.
struct considered_crash
{
    server_crash const* crash{};
    /// Rejected causes that it has.
    std::vector<crash_cause const*> causes;
};

/// The crashes for which a property may be responsible.
struct suspect
{
    std::vector<std::size_t> crashes; ///< indices, in the order of time
    std::int64_t score{};
    std::int64_t recent{}; ///< crashes that were noticed as they happened

    friend bool operator==(suspect const&, suspect const&) = default;
};

using suspects = std::map<crash_trait, suspect>;

/// The crashes of `service` noticed until `until`, in the order of time.
std::vector<considered_crash> crashes_of(crash_investigation const& all,
                                         service_id const& service,
                                         instant until);

/// The number of `crashes` with the indices `which`, where those of one moment
/// count once.
std::int64_t count_moments(std::vector<considered_crash> const& crashes,
                           std::vector<std::size_t> const& which);

suspects find_suspects(crash_investigation const& all,
                       std::vector<considered_crash> const& crashes);

} // namespace caperpath::fleet

#endif
