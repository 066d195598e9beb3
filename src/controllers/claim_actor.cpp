#include "claim_actor.hpp"

#include <caperpath/request/retry.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace caperpath::controllers
{

namespace
{

using request::claim_result;
using request::finish_result;

/// The platform's limit for one transaction.
constexpr std::size_t max_rows_per_delete = 50;

} // namespace

claim_actor::claim_actor(caf::event_based_actor* self,
                         request::claim_store store,
                         claim_controller_options options,
                         std::vector<caf::actor> workers)
    : self{self}, store{std::move(store)}, options{std::move(options)},
      workers{std::move(workers)}
{
}

caf::behavior claim_actor::behavior()
{
    this->tick();
    return {
        [this](request::begin_result const& begun)
        {
            if (begun.held)
            {
                this->add_open(*begun.held);
            }
            if (begun.uncertain)
            {
                this->add_uncertain(*begun.uncertain);
            }
        },
        [this](request::claim_finish const& finish)
        { return this->finish(finish); },
        [this](report_request const&) { return this->report(); },
        [this](stop_request const& request) { return this->stop(request); },
        [this](tick_message const&) { this->tick(); },
        [this](end_result const& result) { this->on_end(result); },
        [this](withdraw_result const& result) { this->on_withdraw(result); },
        [this](delete_result const& result) { this->on_delete(result); },
    };
}

void claim_actor::add_open(request::held_claim const& held)
{
    open_claim claim;
    claim.held = held;
    this->open.insert_or_assign(held.request, std::move(claim));
}

void claim_actor::add_uncertain(request::held_claim const& held)
{
    LOG(WARNING) << "request=" << held.request.value
                 << " the store did not confirm the claim; it was not run and "
                    "the claim is being withdrawn";
    this->uncertain.emplace(held.row.ticket,
                            uncertain_claim{held, 0, {}, false});
    this->pump();
}

caf::response_promise claim_actor::finish(request::claim_finish const& finish)
{
    auto promise = this->self->make_response_promise();
    auto const found = this->open.find(finish.request);
    bool const is_open = found != this->open.end() && !found->second.finish &&
                         found->second.held.row.epoch == finish.epoch;
    if (!is_open)
    {
        promise.deliver(finish_result::superseded);
        return promise;
    }
    found->second.finish = finish;
    found->second.waiter = promise;
    found->second.wait_deadline =
        this->options.time.now() + this->options.finish_wait;
    this->pump();
    return promise;
}

void claim_actor::on_end(end_result const& result)
{
    auto const found = this->open.find(result.request);
    if (found == this->open.end())
    {
        return;
    }
    auto& claim = found->second;
    claim.in_flight = false;
    if (result.end == finish_result::pending)
    {
        claim.failures += 1;
        claim.retry_at =
            this->options.time.now() + this->backoff_after(claim.failures);
        return;
    }
    if (claim.waiter.pending())
    {
        claim.waiter.deliver(result.end);
    }
    // A request that is not idempotent and may have run must never run again,
    // so its row is not deleted.
    bool const may_delete = claim.finish->result != claim_result::unknown ||
                            claim.finish->idempotent;
    if (result.end == finish_result::stored && may_delete)
    {
        auto const until =
            this->options.wall.now() + this->options.claims.retention;
        this->expiring.push_back({result.request, result.version, until});
    }
    if (this->expiring.size() > this->options.max_tracked)
    {
        this->expiring.pop_front();
    }
    this->open.erase(found);
    this->pump();
}

void claim_actor::on_withdraw(withdraw_result const& result)
{
    auto const found = this->uncertain.find(result.ticket);
    if (found == this->uncertain.end())
    {
        return;
    }
    if (result.done)
    {
        this->uncertain.erase(found);
        this->pump();
        return;
    }
    auto& claim = found->second;
    claim.in_flight = false;
    claim.failures += 1;
    claim.retry_at =
        this->options.time.now() + this->backoff_after(claim.failures);
}

void claim_actor::on_delete(delete_result const& result)
{
    this->deleting = false;
    if (!result.done)
    {
        this->expiring.insert(this->expiring.begin(), result.expired.begin(),
                              result.expired.end());
    }
}

void claim_actor::tick()
{
    this->pump();
    this->self->delayed_send(this->self,
                             std::chrono::milliseconds{this->options.tick.ms},
                             tick_message{});
}

void claim_actor::pump()
{
    auto const now = this->options.time.now();
    this->pump_ends(now);
    this->pump_uncertain(now);
    this->pump_deletes();
    this->pump_stop(now);
}

// Retries writing the row until the store accepts it, even after the caller got
// its response: until then a retry at another router has to wait.
void claim_actor::pump_ends(instant now)
{
    auto const actor = caf::actor_cast<caf::actor>(this->self);
    for (auto& [id, claim] : this->open)
    {
        if (!claim.finish)
        {
            continue;
        }
        if (claim.waiter.pending() && now >= claim.wait_deadline)
        {
            claim.waiter.deliver(finish_result::pending);
        }
        if (claim.in_flight || now < claim.retry_at)
        {
            continue;
        }
        claim.in_flight = true;
        this->run(
            [actor, store = this->store, held = claim.held,
             finish = *claim.finish]
            {
                std::uint64_t version = 0;
                auto const end =
                    request::finish_claim(store, held, finish, version);
                caf::anon_send(actor, end_result{held.request, end, version});
            });
    }
}

void claim_actor::pump_uncertain(instant now)
{
    auto const actor = caf::actor_cast<caf::actor>(this->self);
    for (auto& [ticket, claim] : this->uncertain)
    {
        if (claim.in_flight || now < claim.retry_at)
        {
            continue;
        }
        claim.in_flight = true;
        this->run(
            [actor, store = this->store, held = claim.held]
            {
                bool const done = request::withdraw_claim(store, held);
                caf::anon_send(actor, withdraw_result{held.row.ticket, done});
            });
    }
}

void claim_actor::pump_deletes()
{
    auto const now = this->options.wall.now();
    std::vector<request::expiring_claim> expired;
    while (!this->deleting && !this->expiring.empty() &&
           this->expiring.front().keep_until <= now &&
           expired.size() < max_rows_per_delete)
    {
        expired.push_back(std::move(this->expiring.front()));
        this->expiring.pop_front();
    }
    if (expired.empty())
    {
        return;
    }
    this->deleting = true;
    auto const actor = caf::actor_cast<caf::actor>(this->self);
    this->run(
        [actor, store = this->store, expired]
        {
            bool const done = request::delete_claims(store, expired);
            caf::anon_send(actor, delete_result{expired, done});
        });
}

caf::response_promise claim_actor::stop(stop_request const& request)
{
    auto promise = this->self->make_response_promise();
    this->stopping = promise;
    this->stop_until = this->options.time.now() + request.bound;
    this->pump();
    return promise;
}

void claim_actor::pump_stop(instant now)
{
    if (!this->stopping)
    {
        return;
    }
    auto const left = this->report();
    bool const all_written = left.pending == 0 && left.uncertain == 0;
    if (!all_written && now < this->stop_until)
    {
        return;
    }
    for (auto& [id, claim] : this->open)
    {
        if (claim.finish && claim.waiter.pending())
        {
            claim.waiter.deliver(finish_result::pending);
        }
        LOG(WARNING) << "request=" << id.value
                     << " stopped while its claim was still unfinished";
    }
    this->stopping->deliver(left);
    this->stopping.reset();
    for (auto const& worker : this->workers)
    {
        this->self->send_exit(worker, caf::exit_reason::user_shutdown);
    }
    this->self->quit();
}

void claim_actor::run(std::function<void()> job)
{
    auto const& worker = this->workers[this->next_worker];
    this->next_worker = (this->next_worker + 1) % this->workers.size();
    this->self->send(worker, table_job{std::move(job)});
}

duration claim_actor::backoff_after(int failures)
{
    return request::backoff(failures + 1, this->store.random());
}

claim_report claim_actor::report() const
{
    claim_report report;
    for (auto const& [id, claim] : this->open)
    {
        (claim.finish ? report.pending : report.open) += 1;
    }
    report.uncertain = this->uncertain.size();
    report.expiring = this->expiring.size();
    return report;
}

} // namespace caperpath::controllers
