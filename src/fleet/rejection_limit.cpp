#include <caperpath/fleet/rejection_limit.hpp>

#include <algorithm>
#include <cmath>

namespace caperpath::fleet
{

namespace
{

/// When to ask again for a send if the outcome of others is about to be known.
constexpr duration outcome_wait{15};
/// Some servers of a service may name the limit a little later than others.
constexpr duration limit_overlap{1'000};
constexpr std::int64_t parts = 3;

bool counts(unconfirmed_send const& send, instant now)
{
    return now <
           send.rejected_until.value_or(send.granted_at + longest_unconfirmed);
}

} // namespace

bool note_rejection_limit(rejection_limits& all, service_id const& service,
                          std::optional<double> per_second, instant sent_at)
{
    auto const known = all.find(service);
    if (per_second)
    {
        if (known == all.end())
        {
            all[service] = {*per_second, sent_at};
            return true;
        }
        auto& limit = known->second;
        if (sent_at < limit.named_at)
        {
            return false;
        }
        auto const changed = limit.per_second != *per_second;
        limit = {*per_second, sent_at};
        return changed;
    }
    if (known == all.end() || sent_at <= known->second.named_at + limit_overlap)
    {
        return false;
    }
    all.erase(known);
    return true;
}

unconfirmed_send_shares share_rejections(double per_second)
{
    // Far above any number of open requests.
    constexpr double largest = 1e9;
    auto const whole = static_cast<std::int64_t>(
        std::floor(std::clamp(per_second, 0.0, largest)));
    auto const stands_in = std::max<std::int64_t>(1, whole / parts);
    return {std::max<std::int64_t>(1, whole - stands_in), stands_in};
}

unconfirmed_send_grant grant_unconfirmed(unconfirmed_sends& sends,
                                         std::uint64_t id, std::int64_t most,
                                         instant now)
{
    std::erase_if(sends.all,
                  [now](auto const& each) { return !counts(each, now); });
    if (std::ssize(sends.all) < most)
    {
        sends.all.push_back({id, now, std::nullopt});
        return {true, duration{0}};
    }
    auto wait = rejection_lifetime;
    for (auto const& each : sends.all)
    {
        wait = std::min(wait, each.rejected_until ? *each.rejected_until - now
                                                  : outcome_wait);
    }
    return {false, wait};
}

void note_outcome(unconfirmed_sends& sends, std::uint64_t id,
                  send_outcome outcome, instant now)
{
    std::erase_if(sends.all, [id](auto const& each) { return each.id == id; });
    if (outcome == send_outcome::rejected || outcome == send_outcome::unknown)
    {
        sends.all.push_back({id, now, now + rejection_lifetime});
    }
    if (outcome == send_outcome::rejected || outcome == send_outcome::accepted)
    {
        std::erase_if(sends.all,
                      [now](auto const& each) {
                          return !each.rejected_until &&
                                 now - each.granted_at >= rejection_delay;
                      });
    }
}

} // namespace caperpath::fleet
