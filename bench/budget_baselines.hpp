#ifndef CAPERPATH_BENCH_BUDGET_BASELINES_HPP
#define CAPERPATH_BENCH_BUDGET_BASELINES_HPP

#include "budget_events.hpp"
#include "budget_traffic.hpp"

#include <algorithm>
#include <vector>

/// Baselines for comparison with shares, under the same traffic and faults.
namespace caperpath::bench
{

/// Returns the VM that a request reaches: callers of a dead or paused VM go to
/// the next one.
inline int baseline_vm(settings const& chosen, fault_plan const& plan,
                       request const& one, instant now)
{
    auto const dead = plan.dies.ms > 0 && now >= plan.dies;
    auto const paused = within(now, plan.paused_from, plan.paused_to);
    auto const moved = one.vm == 0 && (dead || paused) && chosen.vms > 1;
    return moved ? 1 : one.vm;
}

inline bool baseline_reaches_store(fault_plan const& plan, int vm, instant now)
{
    auto const cut = vm == 0 && within(now, plan.cut_from, plan.cut_to);
    return !cut && !within(now, plan.down_from, plan.down_to);
}

/// Open requests of a router end when it dies.
inline bool baseline_dies_before(fault_plan const& plan, int vm, instant start,
                                 instant end)
{
    if (plan.replaced.ms > 0)
    {
        auto const at = plan.replaced + plan.replace_step * vm;
        return start < at && at <= end;
    }
    return vm == 0 && plan.dies.ms > 0 && start < plan.dies && plan.dies <= end;
}

/// A single ledger with immediate knowledge that never fails: the lower bound
/// of rejections for any scheme.
inline figures omniscient_ledger(settings const& chosen,
                                 std::vector<request> const& traffic,
                                 std::vector<token_count> const& paid)
{
    auto const plan = plan_of(chosen);
    figures sums{.scheme = "omniscient_ledger"};
    omniscient truth{paid};
    event_loop loop;
    bool topped_up = false;
    for (auto const& one : traffic)
    {
        loop.run_until(one.at);
        if (plan.topped_up.ms > 0 && one.at >= plan.topped_up && !topped_up)
        {
            topped_up = true;
            for (int c = 0; c < chosen.customers; ++c)
            {
                truth.topped_up(c, paid[omniscient::index(c)] / 10);
            }
        }
        truth.count_request(sums, one.customer);
        if (!truth.covers(one.customer, one.worst))
        {
            truth.refused(sums, one.customer, one.worst);
            continue;
        }
        truth.admitted(sums, one.customer, one.worst);
        loop.after(one.runs,
                   [&sums, &truth, &one] {
                       truth.finished(sums, one.customer, one.worst, one.cost);
                   });
    }
    loop.run_until(loop.now() + duration{60'000});
    return sums;
}

/// The whole balance is one row; each admission is one conditional write that
/// reserves the worst case and returns what this VM's ended requests of the
/// same customer did not use. A concurrent write of another VM causes a retry.
/// Tokens that a dead VM had not returned are lost.
inline figures one_write_a_request(settings const& chosen,
                                   std::vector<request> const& traffic,
                                   std::vector<token_count> const& paid)
{
    constexpr duration round_trip{2};
    constexpr std::int64_t most_tries = 20;
    auto const plan = plan_of(chosen);
    figures sums{.scheme = "one_write_a_request"};
    omniscient truth{paid};
    event_loop loop;
    auto balance = paid;
    std::vector<instant> last_write(balance.size(), instant{-10});
    std::vector<std::vector<token_count>> returns(
        static_cast<std::size_t>(chosen.vms),
        std::vector<token_count>(balance.size()));
    bool topped_up = false;
    for (auto const& one : traffic)
    {
        loop.run_until(one.at);
        auto const now = loop.now();
        auto const i = omniscient::index(one.customer);
        if (plan.topped_up.ms > 0 && now >= plan.topped_up && !topped_up)
        {
            topped_up = true;
            for (int c = 0; c < chosen.customers; ++c)
            {
                auto const more = paid[omniscient::index(c)] / 10;
                balance[omniscient::index(c)] += more;
                truth.topped_up(c, more);
            }
        }
        truth.count_request(sums, one.customer);
        auto const vm = baseline_vm(chosen, plan, one, now);
        auto& back = returns[static_cast<std::size_t>(vm)][i];
        auto const reached = baseline_reaches_store(plan, vm, now);
        // Writes of this row within the last round trip are not yet visible.
        std::int64_t tries = now - last_write[i] < round_trip ? 2 : 1;
        tries = std::min(tries, most_tries);
        sums.writes += tries;
        sums.rows += tries;
        sums.refused_writes += tries - 1;
        if (!reached || balance[i] + back < one.worst)
        {
            truth.refused(sums, one.customer, one.worst);
            continue;
        }
        last_write[i] = now;
        balance[i] += std::exchange(back, 0) - one.worst;
        sums.waited_ms += tries * round_trip.ms;
        truth.admitted(sums, one.customer, one.worst);
        loop.after(one.runs,
                   [&sums, &truth, &returns, &loop, &plan, &one, vm, i, now]
                   {
                       if (baseline_dies_before(plan, vm, now, loop.now()))
                       {
                           truth.lost(sums, one.customer, one.worst);
                           sums.stranded += one.worst;
                           return;
                       }
                       truth.finished(sums, one.customer, one.worst, one.cost);
                       returns[static_cast<std::size_t>(vm)][i] +=
                           one.worst - one.cost;
                   });
    }
    loop.run_until(loop.now() + duration{60'000});
    return sums;
}

/// Each VM gets an equal part of every budget at the start (and of a top-up
/// when it reaches the store) and never exchanges it; bills are settled in
/// batches, so its only writes are those.
inline figures equal_fixed_shares(settings const& chosen,
                                  std::vector<request> const& traffic,
                                  std::vector<token_count> const& paid)
{
    auto const plan = plan_of(chosen);
    figures sums{.scheme = "equal_fixed_shares"};
    omniscient truth{paid};
    event_loop loop;
    auto const vms = static_cast<std::size_t>(chosen.vms);
    std::vector<std::vector<token_count>> free(vms);
    for (auto& part : free)
    {
        for (auto const tokens : paid)
        {
            part.push_back(tokens / chosen.vms);
        }
    }
    std::vector<instant> next_batch(vms);
    bool topped_up = false;
    for (auto const& one : traffic)
    {
        loop.run_until(one.at);
        auto const now = loop.now();
        auto const i = omniscient::index(one.customer);
        if (plan.topped_up.ms > 0 && now >= plan.topped_up && !topped_up)
        {
            topped_up = true;
            for (int c = 0; c < chosen.customers; ++c)
            {
                auto const more = paid[omniscient::index(c)] / 10;
                truth.topped_up(c, more);
                for (std::size_t vm = 1; vm < vms; ++vm)
                {
                    free[vm][omniscient::index(c)] += more / chosen.vms;
                }
            }
        }
        truth.count_request(sums, one.customer);
        auto const vm = baseline_vm(chosen, plan, one, now);
        auto& own = free[static_cast<std::size_t>(vm)][i];
        if (own < one.worst)
        {
            truth.refused(sums, one.customer, one.worst);
            continue;
        }
        own -= one.worst;
        truth.admitted(sums, one.customer, one.worst);
        loop.after(one.runs,
                   [&sums, &truth, &own, &loop, &plan, &one, &next_batch,
                    &chosen, vm, now]
                   {
                       if (baseline_dies_before(plan, vm, now, loop.now()))
                       {
                           truth.lost(sums, one.customer, one.worst);
                           sums.stranded += one.worst;
                           return;
                       }
                       truth.finished(sums, one.customer, one.worst, one.cost);
                       own += one.worst - one.cost;
                       auto& due = next_batch[static_cast<std::size_t>(vm)];
                       if (loop.now() >= due)
                       {
                           due = loop.now() + duration{chosen.deferred_ms};
                           sums.writes += 1;
                           sums.rows += 2;
                       }
                   });
    }
    loop.run_until(loop.now() + duration{60'000});
    return sums;
}

} // namespace caperpath::bench

#endif
