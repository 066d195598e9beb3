#include "fleet/crash_suspects.hpp"

#include <algorithm>

/// The search for causes among the suspects of crashes.
namespace caperpath::fleet
{

namespace
{

bool overlap(std::vector<std::size_t> const& a,
             std::vector<std::size_t> const& b)
{
    return std::any_of(a.begin(), a.end(),
                       [&b](std::size_t index) {
                           return std::binary_search(b.begin(), b.end(), index);
                       });
}

/// Of suspects with equal scores, the one that is at more crashes is the more
/// suspect, even if some of these happened at one moment.
std::pair<std::int64_t, std::size_t> weight_of(suspect const& each)
{
    return {each.score, each.crashes.size()};
}

/// The properties that share all crashes with `leader`; empty if a property of
/// some of these crashes is as suspect.
crash_traits inseparable_from(suspects const& all, suspect const& leader)
{
    crash_traits found;
    for (auto const& [trait, each] : all)
    {
        if (each == leader)
        {
            found.insert(trait);
        }
        else if (weight_of(each) >= weight_of(leader) &&
                 overlap(each.crashes, leader.crashes))
        {
            return {};
        }
    }
    return found;
}

bool is_rejected(crash_investigation const& all, crash_cause const& cause)
{
    auto const found = all.causes.find(cause);
    return found != all.causes.end() && found->second.state.rejected;
}

std::optional<crash_cause> find_cause(crash_investigation const& all,
                                      service_id const& service,
                                      suspects const& among)
{
    for (auto const& [trait, each] : among)
    {
        if (each.score < crashes_to_reject)
        {
            continue;
        }
        crash_cause cause{service, inseparable_from(among, each)};
        if (!cause.traits.empty() && !is_rejected(all, cause))
        {
            return cause;
        }
    }
    return std::nullopt;
}

/// The crashes so far count no longer against the properties of `cause`.
void clear_crashes(crash_investigation& all, crash_cause const& cause,
                   instant now)
{
    for (auto const& [server, crash] : all.crashes)
    {
        if (crash.service != cause.service)
        {
            continue;
        }
        for (auto const& trait : cause.traits)
        {
            all.sound.note(cause.service, crash.version, trait, now);
        }
    }
}

/// True if this router knows that servers of each version that crashed under
/// `cause` completed requests with its properties, and the crashes since do not
/// outweigh that.
bool is_refuted(crash_investigation const& all, crash_cause const& cause,
                instant now)
{
    auto const crashes = crashes_of(all, cause.service, now);
    auto const among = find_suspects(all, crashes);
    return std::all_of(
        cause.traits.begin(), cause.traits.end(),
        [&](crash_trait const& trait)
        {
            auto const found = among.find(trait);
            auto const score = found == among.end() ? 0 : found->second.score;
            return score < crashes_to_reject &&
                   std::any_of(
                       crashes.begin(), crashes.end(),
                       [&](considered_crash const& each)
                       {
                           return each.crash->suspects.contains(trait) &&
                                  all.sound.last(cause.service,
                                                 each.crash->version, trait,
                                                 each.crash->noticed_at);
                       });
        });
}

/// The causes that no router has refuted for some time.
std::vector<crash_cause> confirmed_causes(crash_investigation const& all,
                                          instant now)
{
    std::vector<crash_cause> found;
    for (auto const& [cause, entry] : all.causes)
    {
        if (entry.state.rejected && now - entry.noted_at >= confirmation_time)
        {
            found.push_back(cause);
        }
    }
    return found;
}

bool have_common(crash_traits const& a, crash_traits const& b)
{
    return std::any_of(a.begin(), a.end(),
                       [&b](crash_trait const& trait)
                       { return b.contains(trait); });
}

/// Lifts the rejected causes all of whose crashes `cause` explains, if it
/// explains more: they were found while it was at fewer crashes than they were.
/// Causes with a property of `cause` stay, since lifting them would clear it.
void lift_superseded(crash_investigation& all, crash_cause const& cause,
                     std::vector<crash_cause>& changed, instant now)
{
    auto const crashes = crashes_of(all, cause.service, now);
    auto const having = [&crashes](crash_cause const& what)
    {
        std::vector<std::size_t> found;
        for (std::size_t i = 0; i < crashes.size(); ++i)
        {
            if (std::ranges::includes(crashes[i].crash->suspects, what.traits))
            {
                found.push_back(i);
            }
        }
        return found;
    };
    auto const own = having(cause);
    for (auto& [other, entry] : all.causes)
    {
        if (!entry.state.rejected || other.service != cause.service ||
            have_common(other.traits, cause.traits))
        {
            continue;
        }
        auto const theirs = having(other);
        if (!theirs.empty() &&
            std::includes(own.begin(), own.end(), theirs.begin(),
                          theirs.end()) &&
            count_moments(crashes, own) >=
                count_moments(crashes, theirs) + crashes_to_reject)
        {
            entry = {{entry.state.lifted + 1, false}, now};
            clear_crashes(all, other, now);
            changed.push_back(other);
        }
    }
}

/// If there are too many, evicts the oldest of those that are not rejected, or
/// the oldest of all.
void make_room(std::map<crash_cause, cause_entry>& causes)
{
    if (causes.size() < most_causes)
    {
        return;
    }
    auto const less = [](auto const& a, auto const& b)
    {
        return std::pair{a.second.state.rejected, a.second.noted_at} <
               std::pair{b.second.state.rejected, b.second.noted_at};
    };
    causes.erase(std::min_element(causes.begin(), causes.end(), less));
}

} // namespace

std::vector<crash_cause> note_success(crash_investigation& all,
                                      service_id const& service,
                                      std::string const& version,
                                      crash_traits const& traits, instant now)
{
    crash_cause const held{service, traits_on_probation(all, service, traits)};
    for (auto const& trait : traits)
    {
        all.sound.note(service, version, trait, now);
        all.suspicion.erase({service, trait});
    }
    std::vector<crash_cause> refuted;
    for (auto& [cause, entry] : all.causes)
    {
        if (entry.state.rejected && cause.service == service &&
            std::ranges::includes(traits, cause.traits))
        {
            entry = {{entry.state.lifted + 1, false}, now};
            refuted.push_back(cause);
        }
    }
    auto const is_known = std::find(refuted.begin(), refuted.end(), held);
    if (!held.traits.empty() && is_known == refuted.end())
    {
        make_room(all.causes);
        auto& entry = all.causes[held];
        entry = {{entry.state.lifted + 1, false}, now};
        refuted.push_back(held);
    }
    return refuted;
}

std::vector<crash_cause> find_causes(crash_investigation& all, instant now)
{
    std::set<service_id> services;
    for (auto const& [server, crash] : all.crashes)
    {
        services.insert(crash.service);
    }
    all.suspicion.clear();
    std::vector<crash_cause> changed;
    for (auto const& cause : confirmed_causes(all, now))
    {
        lift_superseded(all, cause, changed, now);
    }
    for (auto const& service : services)
    {
        auto const reported = now - report_time;
        while (auto const cause = find_cause(
                   all, service,
                   find_suspects(all, crashes_of(all, service, reported))))
        {
            make_room(all.causes);
            auto& entry = all.causes[*cause];
            entry = {{entry.state.lifted, true}, now};
            changed.push_back(*cause);
        }
        for (auto const& [trait, each] :
             find_suspects(all, crashes_of(all, service, now)))
        {
            if (each.score > 0)
            {
                all.suspicion[{service, trait}] = {each.score, each.recent};
            }
        }
    }
    return changed;
}

merge_result merge_cause(crash_investigation& all, crash_cause const& cause,
                         cause_state const& state, instant now)
{
    auto const known = all.causes.find(cause);
    if (known != all.causes.end() && state <= known->second.state)
    {
        return merge_result::known;
    }
    if (known == all.causes.end())
    {
        make_room(all.causes);
    }
    if (!state.rejected)
    {
        clear_crashes(all, cause, now);
    }
    else if (is_refuted(all, cause, now))
    {
        all.causes[cause] = {{state.lifted + 1, false}, now};
        return merge_result::refuted;
    }
    all.causes[cause] = {state, now};
    return merge_result::accepted;
}

void dismiss_cause(crash_investigation& all, crash_cause const& cause,
                   instant now)
{
    clear_crashes(all, cause, now);
    all.causes.erase(cause);
}

} // namespace caperpath::fleet
