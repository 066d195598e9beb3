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
/// What a dead router strands grows with the age of its row; in a large fleet
/// each router strands little of any budget, and rows are most of its calls.
constexpr duration row_pause_of_few{300};
constexpr duration large_fleet_row_pause{600};
/// Arrivals are uneven, and a router gets more of them when others die. With
/// each second the line rises by this much of the traffic, and by one large
/// request for those who send few. What it rises until a successor has the
/// address is lost, at all routers when all of them crash.
constexpr double line_rise = 1.25;
constexpr double open_seconds = 4;
constexpr double requests_risen = 0.5;
/// With so many requests of late the next one is likely to come soon.
constexpr double usual_requests = 2;
/// In a large fleet: the part of what is free that is open at once at most.
constexpr double open_part = 0.5;

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
        line.given = share.given;
        line.has_share = of.taking || share.share_version > 0 ||
                         share.planned || share.floor;
        if (of.taking)
        {
            // Renamed at any moment, its share row is read with this line.
            line.spent = of.taking->spent + budget::used_tokens(share);
            line.received += of.taking->received;
            line.given += of.taking->given;
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
        line.per_second = static_cast<token_count>(
            traffic * line_rise + this->rise_beyond_traffic(of));
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
    if (!this->asks_peers())
    {
        return traffic * line_start_seconds +
               of.mean_request * line_start_requests;
    }
    // In a large fleet most routers rarely get a request of a customer: were
    // each line to cover one, a crash of all would strand most of a budget.
    auto const free = static_cast<double>(budget::free_tokens(of.share));
    auto const here = this->exchange.requests(of.share.budget, this->now.now());
    auto const open = line_start_requests * this->typical_request(of) *
                      std::min(1.0, here / usual_requests);
    return std::min(traffic * line_start_seconds + open, free * open_part);
}

/// In a large fleet a router that is cut off gets a request of most customers
/// once in many seconds. What all lines have risen when all routers crash in an
/// outage of the store is lost.
double budget_book::rise_beyond_traffic(account const& of) const
{
    if (!this->asks_peers())
    {
        return of.large_request();
    }
    auto const free = static_cast<double>(budget::free_tokens(of.share));
    return std::min(free / open_seconds,
                    this->typical_request(of) * requests_risen);
}

duration budget_book::row_pause() const
{
    return this->asks_peers() ? large_fleet_row_pause : row_pause_of_few;
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
