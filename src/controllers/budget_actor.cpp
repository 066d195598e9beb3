#include "budget_actor.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace caperpath::controllers
{

namespace
{

using budget::bill_state;

/// A worker makes blocking calls, so it has its own thread. CAF 0.17.6 forms a
/// reference from a null pointer if an actor's function takes no argument,
/// which the sanitizer reports; the unused number avoids that.
caf::behavior worker_behavior(caf::event_based_actor* /*self*/,
                              std::size_t /*number*/)
{
    return {[](table_job const& job)
            {
                job.run();
            }};
}

bool must_be_durable(config::budget_policy policy)
{
    return policy == config::budget_policy::overspend_first;
}

} // namespace

budget_actor::budget_actor(caf::event_based_actor* self, budget_options options)
    : self{self}, options{std::move(options)}
{
    for (std::size_t i = 0; i < this->options.workers; ++i)
    {
        this->workers.push_back(self->spawn<caf::detached>(worker_behavior, i));
    }
}

caf::behavior budget_actor::behavior()
{
    this->tick();
    return {
        [this](budget::reserve_request const& request)
        { return this->reserve(request); },
        [this](budget::finish_request const& request)
        { return this->finish(request); },
        [this](cancel_request const& request) { this->cancel(request); },
        [this](report_request const&) { return this->report(); },
        [this](stop_request const& request) { return this->stop(request); },
        [this](tick_message const&) { this->tick(); },
        [this](bind_result const& result) { this->on_bind(result); },
        [this](refresh_result const& result) { this->on_refresh(result); },
        [this](write_result const& result) { this->on_write(result); },
        [this](batch_result const& result) { this->on_settle(result); },
        [this](close_result const& result) { this->on_close(result); },
        [this](sweep_result const& result) { this->on_sweep(result); },
    };
}

budget::share_state& budget_actor::share_of(budget_id const& budget,
                                            config::budget_policy policy)
{
    auto const found = this->shares.find(budget);
    if (found != this->shares.end())
    {
        return found->second;
    }
    auto const sizes = this->options.sizes.value_or(budget::sizing_for(policy));
    auto added = budget::make_share(budget, policy, sizes);
    added.closing = this->stopping.has_value();
    return this->shares.emplace(budget, std::move(added)).first->second;
}

caf::response_promise
budget_actor::reserve(budget::reserve_request const& request)
{
    auto promise = this->self->make_response_promise();
    auto& share = this->share_of(request.budget, request.policy);
    auto step =
        budget::reserve(std::move(share), request, this->options.clock.now());
    share = std::move(step.state);
    if (step.reply)
    {
        promise.deliver(*step.reply);
    }
    else
    {
        this->pending_reservations.emplace(request.request, promise);
    }
    this->pump();
    return promise;
}

caf::response_promise
budget_actor::finish(budget::finish_request const& request)
{
    auto promise = this->self->make_response_promise();
    auto const now = this->options.clock.now();
    auto& share = this->share_of(request.cost.budget, request.policy);
    auto step = budget::finish(std::move(share), request, now);
    share = std::move(step.state);
    auto const& id = request.cost.request;
    if (step.accepted)
    {
        this->unsettled[id];
        this->settlement = budget::queue_bill(
            std::move(this->settlement), std::move(step.cost), request.policy,
            this->options.settle, now);
    }
    auto const open = this->unsettled.find(id);
    if (open == this->unsettled.end())
    {
        promise.deliver(bill_state::durable);
        return promise;
    }
    auto const may_end = step.response_may_end ||
                         (!step.accepted && !must_be_durable(request.policy));
    if (!may_end && !this->settlement.fenced)
    {
        open->second.push_back({promise, now + this->options.durable_wait});
    }
    else
    {
        promise.deliver(bill_state::local);
    }
    this->pump();
    return promise;
}

void budget_actor::cancel(cancel_request const& request)
{
    auto const found = this->shares.find(request.budget);
    if (found == this->shares.end())
    {
        return;
    }
    found->second = budget::cancel(std::move(found->second), request.request);
    this->pending_reservations.erase(request.request);
    this->pump();
}

void budget_actor::deliver_replies(budget::share_state& share)
{
    auto step =
        budget::decide_waiting(std::move(share), this->options.clock.now());
    share = std::move(step.state);
    for (auto const& entry : step.decisions)
    {
        auto const found = this->pending_reservations.find(entry.request);
        if (found != this->pending_reservations.end())
        {
            found->second.deliver(entry.reply);
            this->pending_reservations.erase(found);
        }
    }
}

void budget_actor::on_bind(bind_result const& result)
{
    this->binding = false;
    if (result.holder)
    {
        this->holder = *result.holder;
        this->pump();
        return;
    }
    this->bind_failures += 1;
    LOG(WARNING) << "cannot bind the holder row yet; retrying: "
                 << to_string(result.fault);
    auto const salt = std::hash<incarnation_id>{}(this->options.incarnation);
    this->bind_at =
        this->options.clock.now() + budget::backoff(this->bind_failures, salt);
}

void budget_actor::on_refresh(refresh_result const& result)
{
    auto const now = this->options.clock.now();
    for (auto const& budget : result.budgets)
    {
        auto& share = this->shares.at(budget);
        share = result.rows ? budget::after_read(std::move(share), this->holder,
                                                 *result.rows, now)
                            : budget::after_failed_read(std::move(share), now);
    }
    this->pump();
}

void budget_actor::on_write(write_result const& result)
{
    auto& share = this->shares.at(result.budget);
    share = budget::after_write(std::move(share), this->holder, result.outcome,
                                this->options.clock.now());
    this->pump();
}

void budget_actor::on_settle(batch_result const& result)
{
    auto const now = this->options.clock.now();
    auto step = budget::batch_written(std::move(this->settlement), this->holder,
                                      result.outcome, now);
    this->settlement = std::move(step.state);
    this->record_store_result(this->settlement.failures == 0);
    for (auto const& entry : step.durable)
    {
        auto& share = this->shares.at(entry.budget);
        share = budget::settled(std::move(share), entry.tokens);
        auto waiters = this->unsettled.extract(entry.request);
        if (waiters.empty())
        {
            continue;
        }
        for (auto& waiter : waiters.mapped())
        {
            waiter.promise.deliver(bill_state::durable);
        }
    }
    if (this->settlement.fenced)
    {
        LOG(ERROR) << "the holder row of this process was fenced; "
                   << this->settlement.batch.size() +
                          this->settlement.pending.size()
                   << " bills cannot be settled any more";
        this->release_all_waiters();
    }
    this->pump();
}

void budget_actor::record_store_result(bool reached)
{
    auto const now = this->options.clock.now();
    for (auto& [budget, share] : this->shares)
    {
        share = budget::store_result(std::move(share), reached, now);
    }
}

void budget_actor::release_all_waiters()
{
    for (auto& [request, waiters] : this->unsettled)
    {
        for (auto& waiter : waiters)
        {
            waiter.promise.deliver(bill_state::local);
        }
        waiters.clear();
    }
}

/// Replies `local` to calls that have waited for `durable_wait`: otherwise a
/// store outage would hold the caller's connection for as long as it lasts.
void budget_actor::release_expired(instant now)
{
    for (auto& [request, waiters] : this->unsettled)
    {
        auto const expired = [now](finish_waiter const& entry)
        {
            return entry.expires_at <= now;
        };
        for (auto& waiter : waiters)
        {
            if (expired(waiter))
            {
                waiter.promise.deliver(bill_state::local);
            }
        }
        std::erase_if(waiters, expired);
    }
}

void budget_actor::tick()
{
    this->release_expired(this->options.clock.now());
    this->pump();
    this->self->delayed_send(this->self,
                             std::chrono::milliseconds{this->options.tick.ms},
                             tick_message{});
}

} // namespace caperpath::controllers
