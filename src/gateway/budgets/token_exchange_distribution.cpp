#include "gateway/budgets/token_exchange.hpp"

#include <caperpath/fleet/placement.hpp>

#include <algorithm>
#include <cmath>
#include <string>

/// How a router reports its stock to its coordinators, and a coordinator
/// distributes tokens ahead of demand.
namespace caperpath::gateway
{

namespace
{

constexpr double thousandths = 1'000;
constexpr duration report_interval{1'000};
/// Even unchanged stocks are reported this often, in case a report was lost.
constexpr duration full_report_interval{5'000};
constexpr duration distribution_interval{1'000};
/// Once peers have been known for this long (a full report interval and a
/// margin), a router that never reported a budget counts as holding none of it.
constexpr duration all_reported_after{6'500};
/// A change of less than this part of the reported value is not reported.
constexpr double least_reported_change = 0.2;
/// How long distributed tokens may wait for a draw and a spend limit.
constexpr duration distribution_time_limit{900};
/// A coordinator distributes budgets without requests only if it has at most
/// this many of them, so that many idle budgets cost nothing.
constexpr std::size_t most_idle_distributed = 16;

bool is_worth_reporting(stock_report const& before, stock_report const& now,
                        double request)
{
    auto const differs = [](std::int64_t a, std::int64_t b)
    {
        auto const most = static_cast<double>(std::max(a, b));
        return static_cast<double>(std::abs(a - b)) >
               least_reported_change * most;
    };
    // The spent tokens decide whether a budget is used up, so they are reported
    // at a finer step.
    auto const spent = static_cast<double>(now.spent - before.spent);
    return differs(before.free, now.free) ||
           differs(before.requests, now.requests) || spent > request;
}

} // namespace

void token_exchange::send_reports(instant now)
{
    if (this->peers.empty() || now - this->reported_at < report_interval)
    {
        return;
    }
    this->reported_at = now;
    auto const all = now - this->reported_all_at >= full_report_interval;
    this->reported_all_at = all ? now : this->reported_all_at;
    for (auto const& budget : this->shares.in_use())
    {
        auto& of = this->state_of(budget);
        auto const view = this->shares.view(budget);
        stock_report const next{
            budget, view.free, view.spent,
            std::llround(budget::value_at(of.requests, now) * thousandths)};
        if (!all && !is_worth_reporting(of.reported, next, view.mean_request))
        {
            continue;
        }
        of.reported = next;
        auto const first = std::find_if(
            of.coordinators.begin(), of.coordinators.end(),
            [&](vm_id const& one)
            { return one == this->self || !this->is_silent(one, now); });
        if (first != of.coordinators.end() && *first != this->self)
        {
            this->packet_to(*first).reports.push_back(next);
        }
    }
}

void token_exchange::distribute(instant now)
{
    if (this->peers.empty() ||
        now - this->distributed_at < distribution_interval)
    {
        return;
    }
    this->distributed_at = now;
    std::vector<budget_id> idle;
    for (auto const& budget : this->shares.known())
    {
        if (!this->is_coordinator(budget))
        {
            continue;
        }
        auto& of = this->state_of(budget);
        auto const has_traffic =
            of.requests.requests > 0 ||
            std::any_of(of.routers.begin(), of.routers.end(),
                        [](auto const& entry)
                        { return entry.second.requests.requests > 0; });
        if (has_traffic)
        {
            this->distribute(budget, of, now);
        }
        else
        {
            idle.push_back(budget);
        }
    }
    if (idle.size() <= most_idle_distributed)
    {
        for (auto const& budget : idle)
        {
            this->distribute(budget, this->state_of(budget), now);
        }
    }
}

void token_exchange::distribute(budget_id const& budget, budget_state& of,
                                instant now)
{
    if (now - this->peers_known_since >= all_reported_after)
    {
        for (auto const& [vm, one] : this->peers)
        {
            of.routers.try_emplace(vm);
        }
    }
    if (of.routers.empty())
    {
        return;
    }
    auto const plan = budget::distribute(this->stock_of(budget, of, now));
    this->shares.set_pool_target(budget, plan.pool_target);
    token_count given = 0;
    token_count recalled = 0;
    for (auto const& move : plan.moves)
    {
        auto& stock = of.routers[move.router];
        if (!this->is_reachable(move.router, now))
        {
            continue;
        }
        stock.free += move.tokens;
        if (move.tokens < 0)
        {
            recalled -= move.tokens;
            this->packet_to(move.router)
                .recalls.push_back({budget, -move.tokens});
            continue;
        }
        given += move.tokens;
        this->send_tokens(
            move.router, budget, move.tokens, distribution_time_limit,
            [this, budget, move] {
                this->state_of(budget).routers[move.router].free -= move.tokens;
            });
    }
    if (!plan.moves.empty())
    {
        this->log.write(log_weight::routine, "distribute",
                        {{"budget", budget.value},
                         {"moves", std::to_string(plan.moves.size())},
                         {"given", std::to_string(given)},
                         {"recalled", std::to_string(recalled)},
                         {"pool_target", std::to_string(plan.pool_target)}});
    }
}

} // namespace caperpath::gateway
