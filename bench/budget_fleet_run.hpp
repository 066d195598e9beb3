#ifndef CAPERPATH_BENCH_BUDGET_FLEET_RUN_HPP
#define CAPERPATH_BENCH_BUDGET_FLEET_RUN_HPP

#include "budget_fleet.hpp"

#include <algorithm>
#include <utility>

namespace caperpath::bench
{

namespace fleet_times
{

constexpr duration one_way{1};
constexpr duration call_timeout{250};
constexpr duration tick{20};
constexpr duration admission_wait{2'000};
constexpr duration drain{60'000}; ///< after the last arrival

} // namespace fleet_times

inline fleet::fleet(settings chosen, config::budget_policy policy,
                    std::vector<request> const& traffic,
                    std::vector<token_count> paid)
    : chosen{std::move(chosen)}, policy{policy}, plan{plan_of(this->chosen)},
      traffic{traffic}, truth{paid}, random{this->chosen.seed + 1},
      table{std::make_shared<store::memory_table>()},
      direct{store::make_memory_port(this->table)}
{
    this->settle.durable_interval = {this->chosen.durable_ms};
    this->settle.deferred_interval = {this->chosen.deferred_ms};
    for (std::size_t i = 0; i < paid.size(); ++i)
    {
        (void)budget::top_up(this->direct, {"b" + std::to_string(i)}, "first",
                             paid[i]);
    }
    for (int vm = 0; vm < this->chosen.vms; ++vm)
    {
        this->routers.push_back(this->make_router(vm));
    }
    this->first = this->routers.front();
}

inline fleet::router_ptr fleet::make_router(int vm)
{
    auto made = std::make_shared<router>();
    auto const name = "r" + std::to_string(++this->incarnations);
    made->holder = budget::bind_holder(this->direct, {name},
                                       "10.0.0.1:" + std::to_string(vm), {"d"})
                       .value();
    this->sums.writes += 1;
    this->sums.rows += 1;
    return made;
}

inline bool fleet::is_paused(router_ptr const& at) const
{
    return at == this->first && within(this->loop.now(), this->plan.paused_from,
                                       this->plan.paused_to);
}

inline bool fleet::reaches_store(router_ptr const& at) const
{
    auto const now = this->loop.now();
    auto const cut = at == this->first &&
                     within(now, this->plan.cut_from, this->plan.cut_to);
    return !cut && !within(now, this->plan.down_from, this->plan.down_to);
}

/// Returns the load balancer's choice: the VM itself, or the next ready one.
inline fleet::router_ptr fleet::pick(int vm) const
{
    auto const count = this->routers.size();
    for (std::size_t i = 0; i < count; ++i)
    {
        auto const& one =
            this->routers[(static_cast<std::size_t>(vm) + i) % count];
        if (!one->dead && !one->unready && !this->is_paused(one))
        {
            return one;
        }
    }
    return this->routers[static_cast<std::size_t>(vm)];
}

inline void fleet::arrive(std::size_t number)
{
    auto const& wanted = this->traffic[number];
    this->truth.count_request(this->sums, wanted.customer);
    auto const at = this->pick(wanted.vm);
    budget_id const budget{"b" + std::to_string(wanted.customer)};
    auto const made = budget::make_share(budget, this->policy,
                                         budget::sizing_for(this->policy));
    auto& share = at->shares.try_emplace(budget, made).first->second;
    auto const id = "q" + std::to_string(number);
    this->open[id] = {number, wanted.vm, this->loop.now(), {}};
    auto step = budget::reserve(
        std::move(share),
        {{id}, budget, this->policy, wanted.worst, fleet_times::admission_wait},
        this->loop.now());
    share = std::move(step.state);
    if (!step.reply)
    {
        this->pump_budget(at, budget);
        return;
    }
    if (step.reply->verdict == budget::reserve_verdict::admitted)
    {
        this->admit(at, number);
        return;
    }
    this->refuse(at, number, *step.reply);
}

inline void fleet::admit(router_ptr const& at, std::size_t number)
{
    auto const& wanted = this->traffic[number];
    auto const& entry = this->open.at("q" + std::to_string(number));
    this->sums.waited_ms += (this->loop.now() - entry.since).ms;
    this->truth.admitted(this->sums, wanted.customer, wanted.worst);
    this->loop.after(wanted.runs,
                     [this, at, number] { this->finish(at, number); });
}

inline void fleet::refuse(router_ptr const& at, std::size_t number,
                          budget::reserve_reply const& reply)
{
    auto const& wanted = this->traffic[number];
    this->open.erase("q" + std::to_string(number));
    this->truth.refused(this->sums, wanted.customer, wanted.worst);
    // Its readiness check fails, so the load balancer tries the next VM.
    at->unready |= reply.verdict == budget::reserve_verdict::undecidable &&
                   !this->reaches_store(at);
}

inline void fleet::finish(router_ptr const& at, std::size_t number)
{
    auto const id = "q" + std::to_string(number);
    auto const& wanted = this->traffic[number];
    if (at->dead)
    {
        if (this->open.erase(id) > 0)
        {
            this->truth.lost(this->sums, wanted.customer, wanted.worst);
        }
        return;
    }
    if (this->is_paused(at))
    {
        this->loop.after(this->plan.paused_to - this->loop.now(),
                         [this, at, number] { this->finish(at, number); });
        return;
    }
    budget_id const budget{"b" + std::to_string(wanted.customer)};
    auto& share = at->shares.at(budget);
    auto step = budget::finish(
        std::move(share),
        {{{id}, {"c"}, budget, wanted.cost}, this->policy, wanted.worst},
        this->loop.now());
    share = std::move(step.state);
    at->settlement =
        budget::queue_bill(std::move(at->settlement), std::move(step.cost),
                           this->policy, this->settle, this->loop.now());
    this->open.at(id).finished = this->loop.now();
    this->truth.finished(this->sums, wanted.customer, wanted.worst,
                         wanted.cost);
    if (step.response_may_end)
    {
        this->end_answer(number);
    }
    this->pump_settlement(at);
}

inline void fleet::end_answer(std::size_t number)
{
    auto const found = this->open.find("q" + std::to_string(number));
    if (found == this->open.end())
    {
        return;
    }
    auto const waited = (this->loop.now() - found->second.finished).ms;
    this->sums.bill_waits += 1;
    this->sums.bill_wait_ms += waited;
    this->sums.bill_wait_most_ms =
        std::max(this->sums.bill_wait_most_ms, waited);
    this->open.erase(found);
}

inline void fleet::call(router_ptr const& at, store::transaction txn,
                        std::function<void(store::commit_result)> done)
{
    using fleet_times::one_way;
    this->sums.writes += 1;
    this->sums.rows += static_cast<std::int64_t>(txn.writes.size());
    if (!this->reaches_store(at))
    {
        auto const refused =
            store::commit_result{store::commit_outcome::rejected, {}, {}};
        this->loop.after(one_way, [done, refused] { done(refused); });
        return;
    }
    std::uniform_int_distribution<int> percent{0, 99};
    auto const is_lost = percent(this->random) < this->plan.lost_percent;
    this->loop.after(
        one_way,
        [this, txn = std::move(txn), done = std::move(done), is_lost]
        {
            auto outcome = this->table->commit(txn);
            this->sums.refused_writes +=
                outcome.outcome == store::commit_outcome::rejected ? 1 : 0;
            auto const back = is_lost ? fleet_times::call_timeout : one_way;
            if (is_lost)
            {
                outcome = {};
            }
            this->loop.after(back, [done, outcome] { done(outcome); });
        });
}

/// Makes one read, regardless of the number of budgets.
inline void fleet::refresh(router_ptr const& at,
                           std::vector<budget_id> const& budgets)
{
    this->sums.reads += 1;
    auto const failed = !this->reaches_store(at);
    this->loop.after(fleet_times::one_way * 2,
                     [this, at, budgets, failed]
                     {
                         for (auto const& budget : budgets)
                         {
                             this->apply_refresh(at, budget, failed);
                         }
                     });
}

inline void fleet::apply_refresh(router_ptr const& at, budget_id const& budget,
                                 bool failed)
{
    auto& share = at->shares.at(budget);
    auto const now = this->loop.now();
    if (failed)
    {
        share = budget::after_failed_read(std::move(share), now);
        return;
    }
    auto const rows = this->table->read(budget::read_keys(share, at->holder));
    share = budget::after_read(std::move(share), at->holder, rows, now);
    at->unready = false;
    this->pump_budget(at, budget);
}

inline void fleet::pump_budget(router_ptr const& at, budget_id const& budget)
{
    if (this->step_budget(at, budget))
    {
        this->refresh(at, {budget});
    }
}

/// Returns true if a refresh is due.
inline bool fleet::step_budget(router_ptr const& at, budget_id const& budget)
{
    if (at->dead || this->is_paused(at))
    {
        return false;
    }
    auto& share = at->shares.at(budget);
    auto answers = budget::decide_waiting(std::move(share), this->loop.now());
    share = std::move(answers.state);
    for (auto const& one : answers.decisions)
    {
        auto const number = this->open.at(one.request.value).number;
        if (one.reply.verdict == budget::reserve_verdict::admitted)
        {
            this->admit(at, number);
            continue;
        }
        this->refuse(at, number, one.reply);
    }
    auto step =
        budget::next_step(std::move(share), at->holder, this->loop.now());
    share = std::move(step.state);
    if (step.kind == budget::step_kind::write)
    {
        this->call(at, std::move(step.txn),
                   [this, at, budget](store::commit_result const& outcome)
                   {
                       auto& share = at->shares.at(budget);
                       share = budget::after_write(std::move(share), at->holder,
                                                   outcome, this->loop.now());
                       this->pump_budget(at, budget);
                   });
    }
    return step.kind == budget::step_kind::read;
}

inline void fleet::pump_settlement(router_ptr const& at)
{
    if (at->dead || this->is_paused(at))
    {
        return;
    }
    auto step = budget::next_batch(std::move(at->settlement), at->holder,
                                   this->settle, this->loop.now());
    at->settlement = std::move(step.state);
    if (!step.txn)
    {
        return;
    }
    this->call(
        at, std::move(*step.txn),
        [this, at](store::commit_result const& outcome)
        {
            if (at->dead)
            {
                return;
            }
            auto done =
                budget::batch_written(std::move(at->settlement), at->holder,
                                      outcome, this->loop.now());
            at->settlement = std::move(done.state);
            for (auto const& one : done.durable)
            {
                auto& share = at->shares.at(one.budget);
                share = budget::settled(std::move(share), one.tokens);
                this->end_answer(std::stoull(one.request.value.substr(1)));
            }
            this->pump_settlement(at);
        });
}

inline void fleet::tick(int vm)
{
    auto const at = this->routers[static_cast<std::size_t>(vm)];
    std::vector<budget_id> due_refreshes;
    for (auto const& [budget, share] : at->shares)
    {
        if (this->step_budget(at, budget))
        {
            due_refreshes.push_back(budget);
        }
    }
    if (!due_refreshes.empty())
    {
        this->refresh(at, due_refreshes);
    }
    this->pump_settlement(at);
    this->loop.after(fleet_times::tick, [this, vm] { this->tick(vm); });
}

inline figures fleet::run()
{
    this->schedule_faults();
    for (int vm = 0; vm < this->chosen.vms; ++vm)
    {
        this->tick(vm);
    }
    for (std::size_t i = 0; i < this->traffic.size(); ++i)
    {
        this->loop.run_until(this->traffic[i].at);
        this->arrive(i);
    }
    this->loop.run_until(this->loop.now() + fleet_times::drain);
    return this->sum_up();
}

inline figures fleet::sum_up()
{
    for (int i = 0; i < this->chosen.customers; ++i)
    {
        budget_id const budget{"b" + std::to_string(i)};
        auto const found = this->table->read({budget::budget_key(budget)});
        auto const row = budget::decode_budget(found.front().value).value();
        token_count in_shares = 0;
        for (auto const& share : this->table->scan("share/", "", 1'000'000))
        {
            bool const here = share.key.ends_with("/" + budget.value);
            in_shares +=
                here ? budget::decode_share(share.value).value().granted : 0;
        }
        this->sums.ledger_is_sound &=
            row.granted <= row.paid && in_shares + row.retired == row.granted;
    }
    return this->sums;
}

} // namespace caperpath::bench

#endif
