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

using request::claim_end;
using request::claim_result;

/// What one write of the platform carries.
constexpr std::size_t rows_in_one_delete = 50;

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
        [this](request::begun_claim const& begun)
        {
            if (begun.held)
            {
                this->hold(*begun.held);
            }
            if (begun.doubtful)
            {
                this->doubt(*begun.doubtful);
            }
        },
        [this](request::claim_finish const& finish)
        { return this->finish(finish); },
        [this](report_request const&) { return this->report(); },
        [this](stop_request const& request) { return this->stop(request); },
        [this](tick_message const&) { this->tick(); },
        [this](end_result const& result) { this->ended(result); },
        [this](withdraw_result const& result) { this->withdrawn(result); },
        [this](delete_result const& result) { this->deleted(result); },
    };
}

void claim_actor::hold(request::held_claim const& held)
{
    open_claim one;
    one.held = held;
    this->open.insert_or_assign(held.request, std::move(one));
}

void claim_actor::doubt(request::held_claim const& held)
{
    LOG(WARNING) << "request=" << held.request.value
                 << " the store did not say whether it took the claim; it was "
                    "not run and the claim is withdrawn";
    this->doubtful.emplace(held.row.ticket, doubtful_claim{held, 0, {}, false});
    this->pump();
}

caf::response_promise claim_actor::finish(request::claim_finish const& finish)
{
    auto promise = this->self->make_response_promise();
    auto const found = this->open.find(finish.request);
    bool const ours = found != this->open.end() && !found->second.finish &&
                      found->second.held.row.epoch == finish.epoch;
    if (!ours)
    {
        promise.deliver(claim_end::superseded);
        return promise;
    }
    found->second.finish = finish;
    found->second.waiter = promise;
    found->second.waits_until =
        this->options.time.now() + this->options.finish_wait;
    this->pump();
    return promise;
}

void claim_actor::ended(end_result const& result)
{
    auto const found = this->open.find(result.request);
    if (found == this->open.end())
    {
        return;
    }
    auto& one = found->second;
    one.busy = false;
    if (result.end == claim_end::pending)
    {
        one.failures += 1;
        one.retry_at =
            this->options.time.now() + this->pause_after(one.failures);
        return;
    }
    if (one.waiter.pending())
    {
        one.waiter.deliver(result.end);
    }
    // An order of which nobody knows whether it ran must not be run because its
    // row was old: it stays.
    bool const may_go =
        one.finish->result != claim_result::unknown || one.finish->idempotent;
    if (result.end == claim_end::kept && may_go)
    {
        auto const until =
            this->options.wall.now() + this->options.claims.retention;
        this->kept.push_back({result.request, result.version, until});
    }
    if (this->kept.size() > this->options.most_kept)
    {
        this->kept.pop_front();
    }
    this->open.erase(found);
    this->pump();
}

void claim_actor::withdrawn(withdraw_result const& result)
{
    auto const found = this->doubtful.find(result.ticket);
    if (found == this->doubtful.end())
    {
        return;
    }
    if (result.done)
    {
        this->doubtful.erase(found);
        this->pump();
        return;
    }
    auto& one = found->second;
    one.busy = false;
    one.failures += 1;
    one.retry_at = this->options.time.now() + this->pause_after(one.failures);
}

void claim_actor::deleted(delete_result const& result)
{
    this->deleting = false;
    if (!result.done)
    {
        this->kept.insert(this->kept.begin(), result.expired.begin(),
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
    this->pump_doubtful(now);
    this->pump_deletes();
    this->pump_stop(now);
}

// The row is written again and again until the store takes it, also when the
// caller has long had its answer: until then a repeat elsewhere has to wait.
void claim_actor::pump_ends(instant now)
{
    auto const own = caf::actor_cast<caf::actor>(this->self);
    for (auto& [id, one] : this->open)
    {
        if (!one.finish)
        {
            continue;
        }
        if (one.waiter.pending() && now >= one.waits_until)
        {
            one.waiter.deliver(claim_end::pending);
        }
        if (one.busy || now < one.retry_at)
        {
            continue;
        }
        one.busy = true;
        this->run(
            [own, store = this->store, held = one.held, finish = *one.finish]
            {
                std::uint64_t version = 0;
                auto const end =
                    request::finish_claim(store, held, finish, version);
                caf::anon_send(own, end_result{held.request, end, version});
            });
    }
}

void claim_actor::pump_doubtful(instant now)
{
    auto const own = caf::actor_cast<caf::actor>(this->self);
    for (auto& [ticket, one] : this->doubtful)
    {
        if (one.busy || now < one.retry_at)
        {
            continue;
        }
        one.busy = true;
        this->run(
            [own, store = this->store, held = one.held]
            {
                bool const done = request::withdraw_claim(store, held);
                caf::anon_send(own, withdraw_result{held.row.ticket, done});
            });
    }
}

void claim_actor::pump_deletes()
{
    auto const now = this->options.wall.now();
    std::vector<request::kept_claim> expired;
    while (!this->deleting && !this->kept.empty() &&
           this->kept.front().keep_until <= now &&
           expired.size() < rows_in_one_delete)
    {
        expired.push_back(std::move(this->kept.front()));
        this->kept.pop_front();
    }
    if (expired.empty())
    {
        return;
    }
    this->deleting = true;
    auto const own = caf::actor_cast<caf::actor>(this->self);
    this->run(
        [own, store = this->store, expired]
        {
            bool const done = request::delete_claims(store, expired);
            caf::anon_send(own, delete_result{expired, done});
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
    bool const all_written = left.pending == 0 && left.doubtful == 0;
    if (!all_written && now < this->stop_until)
    {
        return;
    }
    for (auto& [id, one] : this->open)
    {
        if (one.finish && one.waiter.pending())
        {
            one.waiter.deliver(claim_end::pending);
        }
        LOG(WARNING) << "request=" << id.value
                     << " stopped with its claim not ended";
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

duration claim_actor::pause_after(int failures)
{
    return request::backoff(failures + 1, this->store.random());
}

claim_report claim_actor::report() const
{
    claim_report report;
    for (auto const& [id, one] : this->open)
    {
        (one.finish ? report.pending : report.open) += 1;
    }
    report.doubtful = this->doubtful.size();
    report.kept = this->kept.size();
    return report;
}

} // namespace caperpath::controllers
