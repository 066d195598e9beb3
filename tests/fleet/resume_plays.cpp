#include "fleet/resume_plays.hpp"

namespace caperpath::fleet
{

namespace
{

constexpr int whole = 100;

} // namespace

std::vector<std::vector<rollout_step>> rollouts()
{
    std::vector<rollout_step> gradual{{instant{0}, "v1", "v2", 0}};
    for (int percent = 10; percent <= whole; percent += 10)
    {
        gradual.push_back(
            {instant{35'000 + percent * 100}, "v1", "v2", percent});
    }
    return {
        {{instant{0}, "v1", "v2", 0}},
        {{instant{0}, "v1", "v2", 0}, {instant{20'000}, "v1", "v2", 50}},
        {{instant{0}, "v1", "v2", 0}, {instant{38'000}, "v1", "v2", 50}},
        gradual,
        {{instant{0}, "v1", "v2", 0},
         {instant{30'000}, "v1", "v2", 60},
         {instant{37'000}, "v1", "v2", 20}},
    };
}

resume_scenario scenario_of(int routers,
                            std::vector<rollout_step> const& rollout,
                            std::uint64_t seed)
{
    constexpr int streams_in_large_fleets = 8;
    resume_scenario made;
    made.routers = routers;
    made.streams_per_s = routers > 100 ? streams_in_large_fleets : 20;
    made.writes_per_s = routers > 100 ? 4'000 : 800;
    made.rollout = rollout;
    made.seed = seed;
    return made;
}

resume_result play_all(int routers, std::vector<rollout_step> const& rollout,
                       resume_way way, int lost_percent, bool in_place)
{
    resume_result sum;
    auto const seeds = routers > 100 ? 1 : 10;
    for (int seed = 1; seed <= seeds; ++seed)
    {
        auto scenario =
            scenario_of(routers, rollout, static_cast<std::uint64_t>(seed));
        scenario.lost_percent = lost_percent;
        scenario.in_place = in_place;
        auto const one = play(scenario, way);
        sum.streams += one.streams;
        sum.resumed += one.resumed;
        sum.at_another_version += one.at_another_version;
        sum.undisturbed += one.undisturbed;
        sum.undisturbed_resumed += one.undisturbed_resumed;
    }
    return sum;
}

} // namespace caperpath::fleet
