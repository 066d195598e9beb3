#include "gateway/budgets/budget_share_manager.hpp"

#include <algorithm>

/// The spend limits that this router requests: how much it may spend before its
/// next spend row.
namespace caperpath::gateway
{

namespace
{

/// A spend limit starts above the used tokens by the traffic of one small-fleet
/// row interval (in seconds) and by half a request, in a large fleet by less
/// (see initial_headroom()); a larger request waits for a row of its own.
/// Tokens between the use and the limit are lost if the router dies.
constexpr double initial_headroom_seconds = 0.3;
constexpr double initial_headroom_requests = 0.5;
/// The loss at a crash grows with the age of the row. In a large fleet each
/// router loses little of any budget, and these rows are most of its store
/// calls, so the interval is longer.
constexpr duration small_fleet_row_interval{300};
constexpr duration large_fleet_row_interval{600};
/// Arrivals are uneven, and a router gets more of them when others die. Each
/// second the limit grows by this multiple of the traffic plus extra_growth().
/// The growth between a crash and the restart counts as spent and is lost, at
/// all routers if all of them crash.
constexpr double traffic_growth_factor = 1.25;
/// In a large fleet, extra_growth() releases the free tokens over at least this
/// time.
constexpr double min_seconds_to_release_free = 4;
constexpr double extra_growth_requests = 0.5;
/// From this many recent requests on, the next one is likely to come soon.
constexpr double frequent_requests = 2;
/// In a large fleet, the initial headroom is at most this part of the free
/// tokens.
constexpr double most_headroom_part = 0.5;

} // namespace

/// Returns a spend limit for each budget that covers all waiting reservations
/// and the expected traffic while the store is away.
std::map<budget_id, budget::spend_limit_curve>
budget_share_manager::required_spend_limits() const
{
    std::map<budget_id, budget::spend_limit_curve> all;
    for (auto const& [id, of] : this->accounts)
    {
        auto const& share = of.share;
        auto const traffic = std::max(0.0, share.rate.per_second);
        auto const start = this->initial_headroom(of, traffic);
        budget::spend_limit_curve limit;
        limit.received = share.received;
        limit.given = share.given;
        limit.has_share = of.pending_takeover || share.share_version > 0 ||
                          share.planned || share.floor;
        if (of.pending_takeover)
        {
            // The share row may be renamed at any moment, and a successor reads
            // it with this limit.
            limit.spent =
                of.pending_takeover->spent + budget::used_tokens(share);
            limit.received += of.pending_takeover->received;
            limit.given += of.pending_takeover->given;
            all[id] = limit;
            continue;
        }
        if (!limit.has_share && share.received == 0)
        {
            continue;
        }
        limit.spent = budget::used_tokens(share) +
                      budget::waiting_tokens(share) +
                      static_cast<token_count>(start);
        limit.per_second = static_cast<token_count>(
            traffic * traffic_growth_factor + this->extra_growth(of));
        if (this->closing)
        {
            limit.per_second = 0;
        }
        all[id] = limit;
    }
    return all;
}

/// Returns the tokens between the current use and the start of the limit.
double budget_share_manager::initial_headroom(account const& of,
                                              double traffic) const
{
    if (this->closing)
    {
        return 0;
    }
    if (!this->is_large_fleet())
    {
        return traffic * initial_headroom_seconds +
               of.mean_request * initial_headroom_requests;
    }
    // In a large fleet most routers rarely get a request of a given customer:
    // if each limit covered one request, a crash of all routers would lose most
    // of a budget.
    auto const free = static_cast<double>(budget::free_tokens(of.share));
    auto const recent =
        this->exchange.recent_requests(of.share.budget, this->now.now());
    auto const request_headroom = initial_headroom_requests *
                                  this->typical_request(of) *
                                  std::min(1.0, recent / frequent_requests);
    return std::min(traffic * initial_headroom_seconds + request_headroom,
                    free * most_headroom_part);
}

/// Returns the growth of the limit per second on top of the traffic. In a large
/// fleet a router that is cut off gets a request of most customers only once in
/// many seconds. If all routers crash during an outage of the store, the growth
/// of all their limits is lost.
double budget_share_manager::extra_growth(account const& of) const
{
    if (!this->is_large_fleet())
    {
        return of.token_weighted_request();
    }
    auto const free = static_cast<double>(budget::free_tokens(of.share));
    return std::min(free / min_seconds_to_release_free,
                    this->typical_request(of) * extra_growth_requests);
}

duration budget_share_manager::spend_row_interval() const
{
    return this->is_large_fleet() ? large_fleet_row_interval
                                  : small_fleet_row_interval;
}

budget::held_tokens budget_share_manager::held(account const& of) const
{
    return {of.share.share.granted, of.share.received};
}

void budget_share_manager::update_spend_limit(account& of) const
{
    of.share.spend_limit = this->spend_writer.limit(
        of.share.budget, this->held(of), this->now.now());
}

/// Writes a spend row at once if the share covers a waiting reservation and
/// only the spend limit holds it back.
void budget_share_manager::request_limit_raise(account const& of)
{
    auto const& share = of.share;
    auto const covered = [&share](budget::waiting_reservation const& one)
    {
        return one.amount <= budget::free_tokens(share);
    };
    if (std::any_of(share.waiting.begin(), share.waiting.end(), covered))
    {
        this->spend_writer.write_soon();
    }
}

bool budget_share_manager::covers_within(budget_id const& budget,
                                         token_count amount,
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
    return this->spend_writer.limit(budget, this->held(found->second),
                                    this->now.now() + wait) >= needed;
}

} // namespace caperpath::gateway
