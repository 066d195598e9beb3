#include <caperpath/fleet/crash_cause.hpp>

#include <xxhash.h>

#include <algorithm>
#include <utility>

/// Evidence of crashes, and what it says of a request.
namespace caperpath::fleet
{

namespace
{

/// The customer of a property must differ from "any customer".
std::uint64_t hash_of(customer_id const& customer)
{
    return XXH64(customer.value.data(), customer.value.size(), 0) | 1;
}

std::uint64_t key_of(service_id const& service, std::string const& version,
                     crash_trait const& trait)
{
    std::uint64_t const numbers[] = {static_cast<std::uint64_t>(trait.part),
                                     trait.customer, service.value.size()};
    return XXH64(version.data(), version.size(),
                 XXH64(service.value.data(), service.value.size(),
                       XXH64(numbers, sizeof numbers, 0)));
}

void make_room(std::map<backend_server_id, server_crash>& crashes)
{
    if (crashes.size() < most_crashes)
    {
        return;
    }
    auto const less = [](auto const& a, auto const& b)
    {
        return a.second.noticed_at < b.second.noticed_at;
    };
    crashes.erase(std::min_element(crashes.begin(), crashes.end(), less));
}

bool explains(crash_cause const& cause, server_crash const& crash)
{
    return crash.service == cause.service &&
           std::ranges::includes(crash.suspects, cause.traits);
}

} // namespace

crash_traits traits_of(std::vector<prompt_part> const& parts,
                       customer_id const& customer)
{
    crash_traits found;
    auto const considered = std::min(parts.size(), most_considered_parts);
    for (std::size_t i = 0; i < considered; ++i)
    {
        found.insert({parts[i], 0});
        found.insert({parts[i], hash_of(customer)});
    }
    return found;
}

void sound_traits::note(service_id const& service, std::string const& version,
                        crash_trait const& trait, instant now)
{
    auto const key = key_of(service, version, trait);
    if (!this->responses.contains(key))
    {
        this->make_room(now);
    }
    this->responses[key] = now;
}

std::optional<instant> sound_traits::last(service_id const& service,
                                          std::string const& version,
                                          crash_trait const& trait,
                                          instant now) const
{
    auto const found = this->responses.find(key_of(service, version, trait));
    return found == this->responses.end() ||
                   now - found->second >= crash_lifetime
               ? std::nullopt
               : std::optional{found->second};
}

void sound_traits::make_room(instant now)
{
    if (this->responses.size() < most_sound_traits)
    {
        return;
    }
    // Halves the age limit until a good part is forgotten, so that this is
    // rare.
    for (auto age = crash_lifetime;
         this->responses.size() > most_sound_traits / 2 && age.ms > 0;
         age = {age.ms / 2})
    {
        std::erase_if(this->responses, [&](auto const& entry)
                      { return now - entry.second >= age; });
    }
    if (this->responses.size() >= most_sound_traits)
    {
        this->responses.clear();
    }
}

bool note_crash(crash_investigation& all, backend_server_id const& server,
                server_crash const& shared)
{
    auto const known = all.crashes.find(server);
    auto const is_new = known == all.crashes.end();
    if (is_new)
    {
        make_room(all.crashes);
        auto first = shared;
        first.suspects.clear();
        all.crashes[server] = std::move(first);
    }
    auto& suspects = all.crashes[server].suspects;
    auto const before = suspects.size();
    auto const add = [&](bool sound)
    {
        for (auto const& trait : shared.suspects)
        {
            auto const success = all.sound.last(shared.service, shared.version,
                                                trait, shared.noticed_at);
            if (suspects.size() < most_suspects && success.has_value() == sound)
            {
                suspects.insert(trait);
            }
        }
    };
    add(false);
    add(true);
    return is_new || suspects.size() > before;
}

std::optional<instant> next_decision(crash_investigation const& all,
                                     instant now)
{
    std::optional<instant> next;
    auto const consider = [&next, now](instant at)
    {
        if (at > now)
        {
            next = std::min(next.value_or(at), at);
        }
    };
    for (auto const& [server, crash] : all.crashes)
    {
        consider(crash.noticed_at + report_time);
    }
    for (auto const& [cause, entry] : all.causes)
    {
        consider(entry.noted_at + confirmation_time);
    }
    return next;
}

crash_cause const* cause_of(crash_investigation const& all,
                            service_id const& service,
                            crash_traits const& traits)
{
    for (auto const& [cause, entry] : all.causes)
    {
        if (entry.state.rejected && cause.service == service &&
            std::ranges::includes(traits, cause.traits))
        {
            return &cause;
        }
    }
    return nullptr;
}

crash_verdict judge(crash_investigation const& all, service_id const& service,
                    crash_traits const& traits)
{
    if (cause_of(all, service, traits) != nullptr)
    {
        return crash_verdict::quarantined;
    }
    if (!traits_on_probation(all, service, traits).empty())
    {
        return crash_verdict::on_probation;
    }
    auto const is_suspected =
        std::any_of(traits.begin(), traits.end(),
                    [&](auto const& trait) {
                        return all.suspicion.contains({service, trait});
                    });
    return is_suspected ? crash_verdict::suspected : crash_verdict::clear;
}

crash_traits traits_on_probation(crash_investigation const& all,
                                 service_id const& service,
                                 crash_traits const& traits)
{
    crash_traits found;
    if (all.suspicion.empty())
    {
        return found;
    }
    for (auto const& trait : traits)
    {
        auto const known = all.suspicion.find({service, trait});
        if (known != all.suspicion.end() &&
            std::max(known->second.score, known->second.crashes) >=
                crashes_to_probation)
        {
            found.insert(trait);
        }
    }
    return found;
}

std::optional<crash_trait> main_suspect(crash_investigation const& all,
                                        service_id const& service,
                                        crash_traits const& traits)
{
    auto const held = traits_on_probation(all, service, traits);
    auto const less = [&](crash_trait const& a, crash_trait const& b)
    {
        return all.suspicion.at({service, a}) < all.suspicion.at({service, b});
    };
    auto const found = std::max_element(held.begin(), held.end(), less);
    return found == held.end() ? std::nullopt : std::optional{*found};
}

std::vector<backend_server_id> explained_crashes(crash_investigation const& all,
                                                 crash_cause const& cause)
{
    std::vector<backend_server_id> found;
    for (auto const& [server, crash] : all.crashes)
    {
        if (explains(cause, crash))
        {
            found.push_back(server);
        }
    }
    return found;
}

bool is_explained(crash_investigation const& all,
                  backend_server_id const& server)
{
    auto const crash = all.crashes.find(server);
    return crash != all.crashes.end() &&
           std::any_of(all.causes.begin(), all.causes.end(),
                       [&crash](auto const& entry)
                       {
                           return entry.second.state.rejected &&
                                  explains(entry.first, crash->second);
                       });
}

std::vector<crash_cause> forget_old(crash_investigation& all, instant now)
{
    std::erase_if(all.crashes, [now](auto const& entry)
                  { return now - entry.second.noticed_at >= crash_lifetime; });
    std::vector<crash_cause> expired;
    for (auto const& [cause, entry] : all.causes)
    {
        auto const lifetime =
            entry.state.rejected ? cause_lifetime : crash_lifetime;
        if (now - entry.noted_at >= lifetime)
        {
            expired.push_back(cause);
        }
    }
    for (auto const& cause : expired)
    {
        all.causes.erase(cause);
    }
    return expired;
}

} // namespace caperpath::fleet
