#include "fleet/crash_suspects.hpp"

#include <algorithm>
#include <optional>
#include <set>

namespace caperpath::fleet
{

namespace
{

/// True if another property is the cause of the crash.
bool is_explained(considered_crash const& crash, crash_trait const& trait)
{
    return std::any_of(crash.causes.begin(), crash.causes.end(),
                       [&trait](crash_cause const* cause)
                       { return !cause->traits.contains(trait); });
}

} // namespace

std::vector<considered_crash> crashes_of(crash_investigation const& all,
                                         service_id const& service,
                                         instant until)
{
    std::vector<considered_crash> found;
    for (auto const& [server, crash] : all.crashes)
    {
        if (crash.service != service || crash.noticed_at > until)
        {
            continue;
        }
        found.push_back({&crash, {}});
        for (auto const& [cause, entry] : all.causes)
        {
            if (entry.state.rejected && cause.service == service &&
                std::ranges::includes(crash.suspects, cause.traits))
            {
                found.back().causes.push_back(&cause);
            }
        }
    }
    std::stable_sort(found.begin(), found.end(),
                     [](auto const& a, auto const& b)
                     { return a.crash->noticed_at < b.crash->noticed_at; });
    return found;
}

std::int64_t count_moments(std::vector<considered_crash> const& crashes,
                           std::vector<std::size_t> const& which)
{
    std::int64_t moments = 0;
    std::optional<instant> previous;
    for (auto const index : which)
    {
        auto const at = crashes[index].crash->noticed_at;
        if (!previous || at - *previous >= same_moment)
        {
            moments += 1;
            previous = at;
        }
    }
    return moments;
}

suspects find_suspects(crash_investigation const& all,
                       std::vector<considered_crash> const& crashes)
{
    suspects found;
    std::set<crash_trait> known_sound;
    for (std::size_t i = 0; i < crashes.size(); ++i)
    {
        auto const& crash = *crashes[i].crash;
        for (auto const& trait : crash.suspects)
        {
            auto const success = all.sound.last(crash.service, crash.version,
                                                trait, crash.noticed_at);
            if (success)
            {
                known_sound.insert(trait);
            }
            auto const survived = success && *success >= crash.noticed_at;
            if (!survived && !is_explained(crashes[i], trait))
            {
                found[trait].crashes.push_back(i);
            }
        }
    }
    for (auto& [trait, each] : found)
    {
        // A part that others use is most likely sound for this customer too.
        auto const is_sound = known_sound.contains(trait) ||
                              known_sound.contains({trait.part, 0});
        each.score = count_moments(crashes, each.crashes) -
                     (is_sound ? extra_crashes_if_sound : 0);
        each.recent = std::count_if(each.crashes.begin(), each.crashes.end(),
                                    [&crashes](std::size_t index)
                                    { return !crashes[index].crash->earlier; });
    }
    return found;
}

} // namespace caperpath::fleet
