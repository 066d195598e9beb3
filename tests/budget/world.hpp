#ifndef CAPERPATH_TESTS_BUDGET_WORLD_HPP
#define CAPERPATH_TESTS_BUDGET_WORLD_HPP

#include "audit.hpp"

#include <caperpath/budget/recovery.hpp>
#include <caperpath/budget/settlement.hpp>
#include <caperpath/budget/share.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace caperpath::budget
{

/// What happens to one call on its way to the table and back.
enum class mishap
{
    none,
    outage,
    lost_call,
    lost_answer,
    delayed,   ///< the caller gives up; the write lands later
    duplicated ///< applied, and a copy lands later
};

/// Where one request stands, as its caller and the auditors see it.
struct request_fate
{
    budget_id budget;
    incarnation_id router;
    config::budget_policy policy{};
    token_count reserved{};
    token_count cost{};
    bool open{false};     ///< admitted, not finished
    bool answered{false}; ///< the caller has the whole answer
    bool lost{false};     ///< its router died before the answer ended
};

struct simulated_router
{
    holder_view holder;
    std::string address;
    bool paused{false};
    bool dead{false};
    bool recovered{false};
    std::map<budget_id, share_state> shares;
    settlement_state settlement;
};

/// Routers over the pure core and one table, driven action by action with a
/// mishap on each call. Test code; not thread safe.
class world
{
public:
    std::shared_ptr<store::memory_table> table =
        std::make_shared<store::memory_table>();
    store::port direct = store::make_memory_port(this->table);
    std::vector<simulated_router> routers;
    std::map<request_id, request_fate> fates;
    std::deque<store::transaction> delayed;
    settle_options settle{{100}, {500}, 5};
    instant now{1'000'000};
    int incarnations{0};

    void add_router()
    {
        auto const number = std::to_string(++this->incarnations);
        simulated_router made;
        made.address = "10.0.0.1:" + number;
        made.holder = bind_holder(this->direct, {"r" + number}, made.address,
                                  {"sala-sur"})
                          .value();
        this->routers.push_back(std::move(made));
    }

    share_state& share_of(simulated_router& router, budget_id const& budget,
                          config::budget_policy policy)
    {
        auto const made = make_share(budget, policy, sizing_for(policy));
        return router.shares.try_emplace(budget, made).first->second;
    }

    void reserve_at(simulated_router& router, budget_id const& budget,
                    config::budget_policy policy, token_count amount,
                    duration wait)
    {
        request_id const id{"q" + std::to_string(this->fates.size())};
        this->fates[id] = {budget, router.holder.incarnation, policy, amount};
        auto& share = this->share_of(router, budget, policy);
        auto step = reserve(std::move(share),
                            {id, budget, policy, amount, wait}, this->now);
        share = std::move(step.state);
        if (step.reply)
        {
            this->note(id, *step.reply);
        }
    }

    /// Finishes the oldest open request of the router at `percent` of its
    /// reservation; a repeat must change nothing.
    void finish_at(simulated_router& router, int percent)
    {
        auto const mine = [&router](auto const& entry)
        {
            return entry.second.open &&
                   entry.second.router == router.holder.incarnation;
        };
        auto const found =
            std::find_if(this->fates.begin(), this->fates.end(), mine);
        if (found == this->fates.end())
        {
            return;
        }
        auto& fate = found->second;
        auto const cost = fate.reserved * percent / 100;
        finish_request const end{{found->first, {"c"}, fate.budget, cost},
                                 fate.policy,
                                 fate.reserved};
        auto& share = router.shares.at(fate.budget);
        auto step = finish(std::move(share), end, this->now);
        router.settlement = queue_bill(std::move(router.settlement), step.cost,
                                       fate.policy, this->settle, this->now);
        auto again = finish(std::move(step.state), end, this->now);
        accepted_twice |= again.accepted;
        share = std::move(again.state);
        fate.open = false;
        fate.cost = cost;
        fate.answered = step.may_end;
    }

    /// One step for every budget of the router and one batch.
    void pump(simulated_router& router, mishap what)
    {
        for (auto& [budget, share] : router.shares)
        {
            auto step = next_step(std::move(share), router.holder, this->now);
            share = std::move(step.state);
            if (step.kind == step_kind::look)
            {
                share = this->look(std::move(share), router, what);
            }
            if (step.kind == step_kind::write)
            {
                share = wrote(std::move(share), router.holder,
                              this->commit(step.txn, what), this->now);
            }
            this->answer(share);
        }
        this->pump_settlement(router, what);
    }

    void crash(simulated_router& router)
    {
        router.dead = true;
        for (auto& [id, fate] : this->fates)
        {
            auto const mine = fate.router == router.holder.incarnation;
            fate.lost |= mine && !fate.answered;
            fate.open &= !mine;
        }
    }

    /// A write that its sender has given up arrives at last.
    void land_one()
    {
        if (!this->delayed.empty())
        {
            this->table->commit(this->delayed.front());
            this->delayed.pop_front();
        }
    }

    store::commit_result commit(store::transaction const& txn, mishap what)
    {
        store::commit_result const unknown{};
        switch (what)
        {
        case mishap::outage:
            return {store::commit_outcome::refused, {}, {}};
        case mishap::lost_call:
            return unknown;
        case mishap::delayed:
            this->delayed.push_back(txn);
            return unknown;
        case mishap::lost_answer:
            this->table->commit(txn);
            return unknown;
        case mishap::duplicated:
            this->delayed.push_back(txn);
            break;
        case mishap::none:
            break;
        }
        return this->table->commit(txn);
    }

    /// Tokens of a budget that customers have used or may still use: open
    /// reservations of running routers and every finished request.
    token_count used(budget_id const& budget) const
    {
        token_count sum = 0;
        for (auto const& [id, fate] : this->fates)
        {
            if (fate.budget == budget && !fate.lost)
            {
                sum += fate.open ? fate.reserved : fate.cost;
            }
        }
        return sum;
    }

    bool accepted_twice{false};

private:
    void note(request_id const& id, reserve_reply const& reply)
    {
        this->fates.at(id).open = reply.verdict == reserve_verdict::admitted;
    }

    void answer(share_state& share)
    {
        auto step = answer_waiting(std::move(share), this->now);
        share = std::move(step.state);
        for (auto const& one : step.answers)
        {
            this->note(one.request, one.reply);
        }
    }

    share_state look(share_state share, simulated_router const& router,
                     mishap what)
    {
        if (what != mishap::none && what != mishap::duplicated)
        {
            return look_failed(std::move(share), this->now);
        }
        auto const rows = this->table->read(look_keys(share, router.holder));
        return looked(std::move(share), router.holder, rows, this->now);
    }

    void pump_settlement(simulated_router& router, mishap what)
    {
        auto step = next_batch(std::move(router.settlement), router.holder,
                               this->settle, this->now);
        router.settlement = std::move(step.state);
        if (!step.txn)
        {
            return;
        }
        auto done = batch_written(std::move(router.settlement), router.holder,
                                  this->commit(*step.txn, what), this->now);
        router.settlement = std::move(done.state);
        for (auto const& one : done.durable)
        {
            auto& share = router.shares.at(one.budget);
            share = settled(std::move(share), one.tokens);
            this->fates.at(one.request).answered = true;
        }
    }
};

} // namespace caperpath::budget

#endif
