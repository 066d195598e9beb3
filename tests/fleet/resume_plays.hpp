#ifndef CAPERPATH_TESTS_FLEET_RESUME_PLAYS_HPP
#define CAPERPATH_TESTS_FLEET_RESUME_PLAYS_HPP

#include "fleet/resume_fleet.hpp"

#include <cstdint>
#include <vector>

namespace caperpath::fleet
{

/// Rollouts of a second version: none, an early one, one shortly before the
/// kill, one in steps, and one that is taken back in part.
std::vector<std::vector<rollout_step>> rollouts();

resume_scenario scenario_of(int routers,
                            std::vector<rollout_step> const& rollout,
                            std::uint64_t seed);

/// Sums over seeds.
resume_result play_all(int routers, std::vector<rollout_step> const& rollout,
                       resume_way way, int lost_percent = 0,
                       bool in_place = false);

} // namespace caperpath::fleet

#endif
