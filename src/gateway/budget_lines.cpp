#include "gateway/budget_book.hpp"

#include <algorithm>

/// How far a budget book may spend ahead of its spend row.
namespace caperpath::gateway
{

namespace
{

/// A spend line begins the traffic of the time between two rows, and half a
/// request, above the use; a larger request waits for a row of its own. What
/// lies between the use and the line is lost when the router dies.
constexpr double line_start_seconds = 0.3;
constexpr double line_start_requests = 0.5;
/// Arrivals are uneven, and a router gets more of them when others die. With
/// each second the line rises by this much of the traffic, and by one large
/// request for those who send few. What it rises until a successor has the
/// address is lost, at all routers when all of them crash.
constexpr double line_rise = 1.25;
constexpr token_count open_seconds = 4;
/// With so many requests of late the next one is likely to come soon.
constexpr double usual_requests = 2;

} // namespace

/// What the traffic will use of the share while the store is away, and all that
/// waits.
std::map<budget_id, budget::spend_line> budget_book::wanted_lines() const
{
    std::map<budget_id, budget::spend_line> all;
    for (auto const& [id, of] : this->accounts)
    {
        auto const& share = of.share;
        auto const traffic = std::max(0.0, share.rate.per_second);
        auto const start = this->line_start(of, traffic);
        budget::spend_line line;
        line.received = share.received;
        line.has_share = of.taking || share.share_version > 0 ||
                         share.planned || share.floor;
        if (of.taking)
        {
            // Renamed at any moment, its share row is read with this line.
            line.spent = of.taking->spent + budget::used_tokens(share);
            line.received += of.taking->received;
            all[id] = line;
            continue;
        }
        if (!line.has_share && share.received == 0)
        {
            continue;
        }
        line.spent = budget::used_tokens(share) +
                     budget::waiting_tokens(share) +
                     static_cast<token_count>(start);
        // Without deals a share is small, and most of its budget is not in it.
        auto const more = this->deals()
                              ? static_cast<token_count>(of.large_request())
                              : budget::free_tokens(share) / open_seconds;
        line.per_second = static_cast<token_count>(traffic * line_rise) + more;
        if (this->closing)
        {
            line.per_second = 0;
        }
        all[id] = line;
    }
    return all;
}

/// How far a line begins above the use.
double budget_book::line_start(account const& of, double traffic) const
{
    if (this->closing)
    {
        return 0;
    }
    auto const requests = line_start_requests * of.mean_request;
    if (this->deals() || !this->asks_peers())
    {
        return traffic * line_start_seconds + requests;
    }
    // In a large fleet most routers rarely get a request of a customer: all
    // together their lines would strand much of a small budget in a crash.
    auto const here = this->exchange.requests(of.share.budget, this->now.now());
    return traffic * line_start_seconds +
           requests * std::min(1.0, here / usual_requests);
}

budget::held_tokens budget_book::held(account const& of) const
{
    return {of.share.share.granted, of.share.received};
}

void budget_book::set_limit(account& of) const
{
    of.share.spend_limit =
        this->spending.limit(of.share.budget, this->held(of), this->now.now());
}

/// A reservation that the share covers and only its line holds back does not
/// wait for the next regular write.
void budget_book::raise_line(account const& of)
{
    auto const& share = of.share;
    auto const covered = [&share](budget::waiting_reservation const& one)
    {
        return one.amount <= budget::free_tokens(share);
    };
    if (std::any_of(share.waiting.begin(), share.waiting.end(), covered))
    {
        this->spending.hurry();
    }
}

bool budget_book::opens_within(budget_id const& budget, token_count amount,
                               duration wait) const
{
    auto const found = this->accounts.find(budget);
    if (found == this->accounts.end())
    {
        return false;
    }
    auto const& share = found->second.share;
    auto const needed =
        budget::used_tokens(share) + budget::waiting_tokens(share) + amount;
    return this->spending.limit(budget, this->held(found->second),
                                this->now.now() + wait) >= needed;
}

} // namespace caperpath::gateway
