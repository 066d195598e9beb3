#ifndef CAPERPATH_TESTS_BUDGET_FLEET_SIMULATION_HPP
#define CAPERPATH_TESTS_BUDGET_FLEET_SIMULATION_HPP

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

/// A fault injected into one call to the table.
enum class call_fault
{
    none,
    outage,
    lost_call,
    lost_response,
    delayed,   ///< the caller gives up; the write is applied later
    duplicated ///< applied, and a copy is applied later
};

/// The state of one request, as its caller and the audit see it.
struct request_record
{
    budget_id budget;
    incarnation_id router;
    config::budget_policy policy{};
    token_count reserved{};
    token_count cost{};
    bool open{false};      ///< admitted, not finished
    bool responded{false}; ///< the caller has the complete response
    bool lost{false};      ///< its router died before the response ended
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

/// Routers over the pure core and one table, driven action by action with an
/// injected fault on each call. Test code; not thread safe.
class fleet_simulation
{
public:
    std::shared_ptr<store::memory_table> table =
        std::make_shared<store::memory_table>();
    store::port direct = store::make_memory_port(this->table);
    std::vector<simulated_router> routers;
    std::map<request_id, request_record> records;
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
        request_id const id{"q" + std::to_string(this->records.size())};
        this->records[id] = {budget, router.holder.incarnation, policy, amount};
        auto& share = this->share_of(router, budget, policy);
        auto step = reserve(std::move(share),
                            {id, budget, policy, amount, wait}, this->now);
        share = std::move(step.state);
        if (step.reply)
        {
            this->record_reply(id, *step.reply);
        }
    }

    /// Finishes the oldest open request of the router at `percent` of its
    /// reservation, twice: the retry must change nothing.
    void finish_at(simulated_router& router, int percent)
    {
        auto const mine = [&router](auto const& entry)
        {
            return entry.second.open &&
                   entry.second.router == router.holder.incarnation;
        };
        auto const found =
            std::find_if(this->records.begin(), this->records.end(), mine);
        if (found == this->records.end())
        {
            return;
        }
        auto& record = found->second;
        auto const cost = record.reserved * percent / 100;
        finish_request const end{{found->first, {"c"}, record.budget, cost},
                                 record.policy,
                                 record.reserved};
        auto& share = router.shares.at(record.budget);
        auto step = finish(std::move(share), end, this->now);
        router.settlement = queue_bill(std::move(router.settlement), step.cost,
                                       record.policy, this->settle, this->now);
        auto again = finish(std::move(step.state), end, this->now);
        accepted_twice |= again.accepted;
        share = std::move(again.state);
        record.open = false;
        record.cost = cost;
        record.responded = step.response_may_end;
    }

    /// Runs one step for every budget of the router and one settlement batch.
    void advance(simulated_router& router, call_fault fault)
    {
        for (auto& [budget, share] : router.shares)
        {
            auto step = next_step(std::move(share), router.holder, this->now);
            share = std::move(step.state);
            if (step.kind == step_kind::read)
            {
                share = this->read_rows(std::move(share), router, fault);
            }
            if (step.kind == step_kind::write)
            {
                share = after_write(std::move(share), router.holder,
                                    this->commit(step.txn, fault), this->now);
            }
            this->decide_reservations(share);
        }
        this->advance_settlement(router, fault);
    }

    void crash(simulated_router& router)
    {
        router.dead = true;
        for (auto& [id, record] : this->records)
        {
            auto const mine = record.router == router.holder.incarnation;
            record.lost |= mine && !record.responded;
            record.open &= !mine;
        }
    }

    /// Applies the oldest write that its sender has given up.
    void deliver_one_delayed()
    {
        if (!this->delayed.empty())
        {
            this->table->commit(this->delayed.front());
            this->delayed.pop_front();
        }
    }

    store::commit_result commit(store::transaction const& txn, call_fault fault)
    {
        store::commit_result const unknown{};
        switch (fault)
        {
        case call_fault::outage:
            return {store::commit_outcome::rejected, {}, {}};
        case call_fault::lost_call:
            return unknown;
        case call_fault::delayed:
            this->delayed.push_back(txn);
            return unknown;
        case call_fault::lost_response:
            this->table->commit(txn);
            return unknown;
        case call_fault::duplicated:
            this->delayed.push_back(txn);
            break;
        case call_fault::none:
            break;
        }
        return this->table->commit(txn);
    }

    /// Returns the tokens of a budget that customers have used or may still
    /// use: open reservations of running routers and every finished request.
    token_count used(budget_id const& budget) const
    {
        token_count sum = 0;
        for (auto const& [id, record] : this->records)
        {
            if (record.budget == budget && !record.lost)
            {
                sum += record.open ? record.reserved : record.cost;
            }
        }
        return sum;
    }

    bool accepted_twice{false};

private:
    void record_reply(request_id const& id, reserve_reply const& reply)
    {
        this->records.at(id).open = reply.verdict == reserve_verdict::admitted;
    }

    void decide_reservations(share_state& share)
    {
        auto step = decide_waiting(std::move(share), this->now);
        share = std::move(step.state);
        for (auto const& one : step.decisions)
        {
            this->record_reply(one.request, one.reply);
        }
    }

    share_state read_rows(share_state share, simulated_router const& router,
                          call_fault fault)
    {
        if (fault != call_fault::none && fault != call_fault::duplicated)
        {
            return after_failed_read(std::move(share), this->now);
        }
        auto const rows = this->table->read(read_keys(share, router.holder));
        return after_read(std::move(share), router.holder, rows, this->now);
    }

    void advance_settlement(simulated_router& router, call_fault fault)
    {
        auto step = next_batch(std::move(router.settlement), router.holder,
                               this->settle, this->now);
        router.settlement = std::move(step.state);
        if (!step.txn)
        {
            return;
        }
        auto done = batch_written(std::move(router.settlement), router.holder,
                                  this->commit(*step.txn, fault), this->now);
        router.settlement = std::move(done.state);
        for (auto const& one : done.durable)
        {
            auto& share = router.shares.at(one.budget);
            share = settled(std::move(share), one.tokens);
            this->records.at(one.request).responded = true;
        }
    }
};

} // namespace caperpath::budget

#endif
