#ifndef CAPERPATH_BENCH_BUDGET_FLEET_FAULTS_HPP
#define CAPERPATH_BENCH_BUDGET_FLEET_FAULTS_HPP

#include "budget_fleet.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace caperpath::bench
{

namespace fleet_times
{

constexpr duration recovery_delay{35'000}; ///< list lag and the next check
constexpr std::int64_t reads_of_recovery = 6;

} // namespace fleet_times

inline void fleet::count_stranded(token_count change)
{
    if (this->stranded_now == 0)
    {
        this->stranded_since = this->loop.now();
    }
    this->stranded_now += change;
    this->sums.stranded = std::max(this->sums.stranded, this->stranded_now);
    if (this->stranded_now == 0)
    {
        this->sums.stranded_ms += (this->loop.now() - this->stranded_since).ms;
    }
}

inline void fleet::die(int vm, bool replace)
{
    auto const at = this->routers[static_cast<std::size_t>(vm)];
    at->dead = true;
    token_count left = 0;
    for (auto const& [budget, share] : at->shares)
    {
        left += share.share.granted - share.settled;
        for (auto const& one : share.waiting)
        {
            this->open.erase(one.request.value);
            this->sums.lost_with_router += 1;
        }
    }
    // Responses that ended before the bill are no longer in `open`. The others
    // end with their router, at once for the omniscient ledger.
    for (auto const& [budget, share] : at->shares)
    {
        for (auto const& [id, worst] : share.open)
        {
            auto const number = this->open.at(id.value).number;
            this->open.erase(id.value);
            this->truth.lost(this->sums, this->traffic[number].customer, worst);
        }
    }
    std::vector<budget::bill> unsettled = at->settlement.batch;
    for (auto const& one : at->settlement.pending)
    {
        unsettled.push_back(one.cost);
    }
    for (auto const& one : unsettled)
    {
        auto const found = this->open.find(one.request.value);
        if (found != this->open.end())
        {
            auto const& wanted = this->traffic[found->second.number];
            this->truth.response_lost(this->sums, wanted.customer, wanted.cost);
            this->open.erase(found);
        }
    }
    this->count_stranded(left);
    this->loop.after(fleet_times::recovery_delay,
                     [this, at, left]
                     {
                         this->recover(at);
                         this->count_stranded(-left);
                     });
    if (replace)
    {
        this->routers[static_cast<std::size_t>(vm)] = this->make_router(vm);
    }
}

inline void fleet::recover(router_ptr const& dead)
{
    budget::death_proof const proof{dead->holder.incarnation,
                                    budget::proof_kind::absent_after_listed};
    auto const report = budget::recover(this->direct, proof).value();
    auto const shares = static_cast<std::int64_t>(report.size());
    this->sums.writes += shares + 2;
    this->sums.rows += shares * 2 + 2;
    this->sums.reads += shares + fleet_times::reads_of_recovery;
    for (auto const& one : report)
    {
        this->sums.held += one.held;
    }
}

inline void fleet::schedule_faults()
{
    if (this->plan.dies.ms > 0)
    {
        this->loop.after(this->plan.dies - instant{},
                         [this] { this->die(0, false); });
    }
    for (int vm = 0; this->plan.replaced.ms > 0 && vm < this->chosen.vms; ++vm)
    {
        auto const at = this->plan.replaced + this->plan.replace_step * vm;
        this->loop.after(at - instant{}, [this, vm] { this->die(vm, true); });
    }
    if (this->plan.topped_up.ms > 0)
    {
        this->loop.after(this->plan.topped_up - instant{},
                         [this]
                         {
                             for (int i = 0; i < this->chosen.customers; ++i)
                             {
                                 auto const tokens =
                                     this->truth.paid[omniscient::index(i)] /
                                     10;
                                 (void)budget::top_up(this->direct,
                                                      {"b" + std::to_string(i)},
                                                      "second", tokens);
                                 this->truth.topped_up(i, tokens);
                             }
                         });
    }
}

} // namespace caperpath::bench

#endif
