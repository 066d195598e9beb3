#include "budget_actor.hpp"

#include <caperpath/budget/recovery.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace caperpath::controllers
{

namespace
{

/// A read takes at most 100 keys: the holder row and three per budget.
constexpr std::size_t max_budgets_per_read = 33;

/// Binds the holder row, which proves that earlier processes at this address
/// are dead, and recovers their shares without waiting for the platform's VM
/// list.
result<budget::holder_view> bind_and_recover(budget_options const& options)
{
    auto const& port = options.platform;
    BOOST_LEAF_AUTO(holder, budget::bind_holder(port, options.incarnation,
                                                options.address,
                                                options.failure_domain));
    BOOST_LEAF_AUTO(proofs, budget::prove_by_binding(port, options.incarnation,
                                                     options.address));
    for (auto const& proof : proofs)
    {
        BOOST_LEAF_CHECK(budget::recover(port, proof));
    }
    return holder;
}

} // namespace

/// Runs a blocking call on a worker. A slow call delays only that worker's
/// jobs; the port limits the time of every call.
void budget_actor::run(std::function<void()> job)
{
    auto const& worker = this->workers[this->next_worker];
    this->next_worker = (this->next_worker + 1) % this->workers.size();
    this->self->send(worker, table_job{std::move(job)});
}

void budget_actor::bind()
{
    auto const is_due = this->options.clock.now() >= this->bind_at;
    if (this->binding || this->holder.version != 0 || !is_due)
    {
        return;
    }
    this->binding = true;
    auto const actor = caf::actor_cast<caf::actor>(this->self);
    this->run(
        [actor, options = this->options]
        {
            auto outcome = value_or_error(
                [&options] { return bind_and_recover(options); });
            bind_result result;
            if (auto* const holder = std::get_if<budget::holder_view>(&outcome))
            {
                result.holder = *holder;
            }
            else
            {
                result.fault = std::get<error>(outcome);
            }
            caf::anon_send(actor, std::move(result));
        });
}

void budget_actor::refresh(std::vector<budget_id> budgets)
{
    std::vector<std::string> keys{budget::holder_key(this->holder.incarnation)};
    for (auto const& budget : budgets)
    {
        for (auto& key :
             budget::read_keys(this->shares.at(budget), this->holder))
        {
            if (key != keys.front())
            {
                keys.push_back(std::move(key));
            }
        }
    }
    auto const actor = caf::actor_cast<caf::actor>(this->self);
    this->run(
        [actor, keys = std::move(keys), budgets = std::move(budgets),
         read = this->options.platform.read]
        {
            auto outcome = value_or_error([&] { return read(keys); });
            refresh_result result{budgets, std::nullopt};
            if (auto* const rows =
                    std::get_if<std::vector<store::row>>(&outcome))
            {
                result.rows = std::move(*rows);
            }
            caf::anon_send(actor, std::move(result));
        });
}

void budget_actor::pump_budgets()
{
    auto const now = this->options.clock.now();
    auto const actor = caf::actor_cast<caf::actor>(this->self);
    std::vector<budget_id> to_refresh;
    for (auto& [budget, share] : this->shares)
    {
        this->deliver_replies(share);
        auto step = budget::next_step(std::move(share), this->holder, now);
        share = std::move(step.state);
        if (step.kind == budget::step_kind::read)
        {
            to_refresh.push_back(budget);
        }
        if (step.kind == budget::step_kind::write)
        {
            this->run(
                [actor, budget = budget, txn = std::move(step.txn),
                 commit = this->options.platform.commit] {
                    caf::anon_send(actor, write_result{budget, commit(txn)});
                });
        }
    }
    while (!to_refresh.empty())
    {
        auto const count = std::min(to_refresh.size(), max_budgets_per_read);
        auto const first =
            to_refresh.end() - static_cast<std::ptrdiff_t>(count);
        this->refresh({first, to_refresh.end()});
        to_refresh.erase(first, to_refresh.end());
    }
}

void budget_actor::pump_settlement()
{
    auto step = budget::next_batch(
        std::move(this->settlement), this->holder, this->options.settle,
        this->options.clock.now(), this->stopping.has_value());
    this->settlement = std::move(step.state);
    if (!step.txn)
    {
        return;
    }
    auto const actor = caf::actor_cast<caf::actor>(this->self);
    this->run([actor, txn = std::move(*step.txn),
               commit = this->options.platform.commit]
              { caf::anon_send(actor, batch_result{commit(txn)}); });
}

/// Every router checks for dead holders, so no router needs to be elected for
/// it. The first check is delayed by a share of the interval that depends on
/// the incarnation, since routers may start together.
void budget_actor::pump_sweep()
{
    auto const now = this->options.clock.now();
    if (!this->sweep_at)
    {
        auto const salt =
            std::hash<incarnation_id>{}(this->options.incarnation);
        auto const part = budget::jitter_fraction(salt);
        auto const ms = static_cast<double>(this->options.sweep_interval.ms);
        this->sweep_at = now + duration{static_cast<std::int64_t>(ms * part)};
    }
    if (this->sweeping || this->stopping || now < *this->sweep_at)
    {
        return;
    }
    this->sweeping = true;
    this->sweep_at = now + this->options.sweep_interval;
    auto const actor = caf::actor_cast<caf::actor>(this->self);
    this->run(
        [actor, now, watch = this->watch, platform = this->options.platform,
         list_lag = this->options.list_lag]
        {
            auto outcome = value_or_error(
                [&] { return budget::sweep(platform, watch, list_lag, now); });
            sweep_result result;
            if (auto* const report =
                    std::get_if<budget::sweep_report>(&outcome))
            {
                result.report = std::move(*report);
            }
            caf::anon_send(actor, std::move(result));
        });
}

void budget_actor::on_sweep(sweep_result const& result)
{
    this->sweeping = false;
    if (!result.report)
    {
        return;
    }
    this->watch = result.report->watch;
    for (auto const& entry : result.report->recovered)
    {
        LOG(WARNING) << "recovered a share of budget " << entry.budget.value
                     << ": granted " << entry.granted << ", settled "
                     << entry.spent << ", returned " << entry.returned
                     << ", held " << entry.held;
    }
}

void budget_actor::pump()
{
    this->bind();
    this->pump_sweep();
    this->pump_settlement();
    this->pump_budgets();
    this->pump_close();
}

caf::response_promise budget_actor::stop(stop_request const& request)
{
    auto promise = this->self->make_response_promise();
    this->stopping = promise;
    this->stop_until = this->options.clock.now() + request.bound;
    for (auto& [budget, share] : this->shares)
    {
        share = budget::close(std::move(share));
    }
    this->pump();
    return promise;
}

void budget_actor::pump_close()
{
    if (!this->stopping)
    {
        return;
    }
    if (this->options.clock.now() >= this->stop_until)
    {
        this->end();
        return;
    }
    auto const all_closed = std::all_of(
        this->shares.begin(), this->shares.end(),
        [](auto const& entry) { return budget::is_closed(entry.second); });
    auto const settled =
        this->settlement.batch.empty() && this->settlement.pending.empty();
    if (!all_closed || !settled || this->close_sent)
    {
        return;
    }
    if (this->holder.version == 0 && !this->binding)
    {
        this->end();
        return;
    }
    this->close_sent = true;
    auto const actor = caf::actor_cast<caf::actor>(this->self);
    this->run(
        [actor, holder = this->holder, platform = this->options.platform]
        {
            auto const outcome = value_or_error(
                [&]() -> result<bool>
                {
                    BOOST_LEAF_CHECK(budget::close_holder(platform, holder));
                    return true;
                });
            caf::anon_send(actor, close_result{outcome.index() == 0});
        });
}

void budget_actor::on_close(close_result const& result)
{
    this->close_sent = false;
    if (result.closed)
    {
        this->holder.version = 0;
        this->end();
    }
}

void budget_actor::end()
{
    auto left = this->report();
    if (!left.clean)
    {
        LOG(WARNING) << "stopped with " << left.unsettled_bills
                     << " unsettled bills, or shares not returned";
    }
    this->release_all_waiters();
    for (auto& [request, promise] : this->pending_reservations)
    {
        promise.deliver(budget::reserve_reply{
            budget::reserve_verdict::undecidable, duration{0}});
    }
    this->pending_reservations.clear();
    this->stopping->deliver(std::move(left));
    this->stopping.reset();
    for (auto const& worker : this->workers)
    {
        this->self->send_exit(worker, caf::exit_reason::user_shutdown);
    }
    this->self->quit();
}

budget_report budget_actor::report() const
{
    budget_report report;
    for (auto const& [budget, share] : this->shares)
    {
        budget_status status;
        status.budget = budget;
        if (share.seen)
        {
            status.paid = share.seen->row.paid;
            status.ungranted = budget::ungranted(share.seen->row);
        }
        status.granted = share.share.granted;
        status.free = budget::free_tokens(share);
        status.reserved = share.reserved;
        status.unsettled = share.unsettled;
        status.settled = share.settled;
        status.waiting = share.waiting.size();
        status.fenced = share.fenced;
        status.store_down = share.down_since.has_value();
        report.budgets.push_back(std::move(status));
    }
    report.unsettled_bills =
        this->settlement.batch.size() + this->settlement.pending.size();
    report.clean = this->stopping && this->holder.version == 0;
    return report;
}

} // namespace caperpath::controllers
