#ifndef CAPERPATH_TESTS_FLEET_RESUME_FLEET_HPP
#define CAPERPATH_TESTS_FLEET_RESUME_FLEET_HPP

#include <caperpath/base/clock.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace caperpath::fleet
{

/// How a router that has just started finds the version of a stream.
enum class resume_way
{
    memory,  ///< from the routers that served it, which are gone
    hash,    ///< from its id and the shares of the versions over time
    rows,    ///< from rows in the store
    versions ///< from rows that do not name servers
};

/// From `at` on, `percent` of the servers have version `newer`, and the others
/// `older`.
struct rollout_step
{
    instant at;
    std::string older;
    std::string newer;
    int percent{};
};

/// One simulated loss of all routers.
struct resume_scenario
{
    int routers{8};
    int streams_per_s{20};          ///< of each router
    std::int64_t writes_per_s{800}; ///< that the store takes
    std::vector<rollout_step> rollout;
    /// Servers start again under their ids; their entries name the version
    /// before for `entry_delay`.
    bool in_place{false};
    duration entry_delay{1'000};
    instant killed{40'000};
    duration down{2'000};
    /// Of the writes of rows, those that the store loses.
    int lost_percent{0};
    /// No write of a row is applied from here on.
    instant store_away{1'000'000};
    std::uint64_t seed{1};
};

/// What became of the streams that were open at the kill and whose callers came
/// back while servers of their version were there.
struct resume_result
{
    int streams{};
    int resumed{};
    int at_another_version{};
    int undisturbed{}; ///< whose servers kept their versions
    int undisturbed_resumed{};
};

/// Plays the scenario.
resume_result play(resume_scenario const& scenario, resume_way way);

} // namespace caperpath::fleet

#endif
