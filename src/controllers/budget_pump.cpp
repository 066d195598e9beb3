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

/// Three keys a budget; a read takes at most 100 keys.
constexpr std::size_t budgets_in_one_look = 33;

/// Whoever had this process's address before it is dead; its shares come back
/// at once and do not wait for the platform's list.
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

/// Hands a blocking call to a worker. A call that hangs keeps only its own
/// worker; the port bounds every call.
void budget_actor::run(std::function<void()> job)
{
    auto const& worker = this->workers[this->next_worker];
    this->next_worker = (this->next_worker + 1) % this->workers.size();
    this->self->send(worker, table_job{std::move(job)});
}

void budget_actor::bind()
{
    auto const due = this->options.clock.now() >= this->bind_at;
    if (this->binding || this->holder.version != 0 || !due)
    {
        return;
    }
    this->binding = true;
    auto const own = caf::actor_cast<caf::actor>(this->self);
    this->run(
        [own, options = this->options]
        {
            auto both = value_or_error([&options]
                                       { return bind_and_recover(options); });
            bind_result result;
            if (auto* const holder = std::get_if<budget::holder_view>(&both))
            {
                result.holder = *holder;
            }
            else
            {
                result.fault = std::get<error>(both);
            }
            caf::anon_send(own, std::move(result));
        });
}

void budget_actor::look(std::vector<budget_id> budgets)
{
    std::vector<std::string> keys{budget::holder_key(this->holder.incarnation)};
    for (auto const& budget : budgets)
    {
        for (auto& key :
             budget::look_keys(this->shares.at(budget), this->holder))
        {
            if (key != keys.front())
            {
                keys.push_back(std::move(key));
            }
        }
    }
    auto const own = caf::actor_cast<caf::actor>(this->self);
    this->run(
        [own, keys = std::move(keys), budgets = std::move(budgets),
         read = this->options.platform.read]
        {
            auto both = value_or_error([&] { return read(keys); });
            look_result result{budgets, std::nullopt};
            if (auto* const rows = std::get_if<std::vector<store::row>>(&both))
            {
                result.rows = std::move(*rows);
            }
            caf::anon_send(own, std::move(result));
        });
}

void budget_actor::pump_budgets()
{
    auto const now = this->options.clock.now();
    auto const own = caf::actor_cast<caf::actor>(this->self);
    std::vector<budget_id> looks;
    for (auto& [budget, share] : this->shares)
    {
        this->answer(share);
        auto step = budget::next_step(std::move(share), this->holder, now);
        share = std::move(step.state);
        if (step.kind == budget::step_kind::look)
        {
            looks.push_back(budget);
        }
        if (step.kind == budget::step_kind::write)
        {
            this->run(
                [own, budget = budget, txn = std::move(step.txn),
                 commit = this->options.platform.commit] {
                    caf::anon_send(own, write_result{budget, commit(txn)});
                });
        }
    }
    while (!looks.empty())
    {
        auto const count = std::min(looks.size(), budgets_in_one_look);
        auto const first = looks.end() - static_cast<std::ptrdiff_t>(count);
        this->look({first, looks.end()});
        looks.erase(first, looks.end());
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
    auto const own = caf::actor_cast<caf::actor>(this->self);
    this->run([own, txn = std::move(*step.txn),
               commit = this->options.platform.commit]
              { caf::anon_send(own, batch_result{commit(txn)}); });
}

/// Every router looks for dead holders, so that no duty has to be handed over;
/// the first look comes at a time of its own, since routers start together.
void budget_actor::pump_sweep()
{
    auto const now = this->options.clock.now();
    if (!this->sweep_at)
    {
        auto const salt =
            std::hash<incarnation_id>{}(this->options.incarnation);
        auto const part = budget::spread_of(salt);
        auto const ms = static_cast<double>(this->options.sweep_interval.ms);
        this->sweep_at = now + duration{static_cast<std::int64_t>(ms * part)};
    }
    if (this->sweeping || this->stopping || now < *this->sweep_at)
    {
        return;
    }
    this->sweeping = true;
    this->sweep_at = now + this->options.sweep_interval;
    auto const own = caf::actor_cast<caf::actor>(this->self);
    this->run(
        [own, now, watch = this->watch, platform = this->options.platform,
         list_lag = this->options.list_lag]
        {
            auto both = value_or_error(
                [&] { return budget::sweep(platform, watch, list_lag, now); });
            sweep_result result;
            if (auto* const report = std::get_if<budget::sweep_report>(&both))
            {
                result.report = std::move(*report);
            }
            caf::anon_send(own, std::move(result));
        });
}

void budget_actor::swept(sweep_result const& result)
{
    this->sweeping = false;
    if (!result.report)
    {
        return;
    }
    this->watch = result.report->watch;
    for (auto const& one : result.report->recovered)
    {
        LOG(WARNING) << "recovered a share of budget " << one.budget.value
                     << ": granted " << one.granted << ", settled " << one.spent
                     << ", returned " << one.returned << ", held " << one.held;
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
    auto const own = caf::actor_cast<caf::actor>(this->self);
    this->run(
        [own, holder = this->holder, platform = this->options.platform]
        {
            auto const both = value_or_error(
                [&]() -> result<bool>
                {
                    BOOST_LEAF_CHECK(budget::close_holder(platform, holder));
                    return true;
                });
            caf::anon_send(own, close_result{both.index() == 0});
        });
}

void budget_actor::closed(close_result const& result)
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
                     << " bills unsettled or shares not returned";
    }
    this->release_all_waiters();
    for (auto& [request, promise] : this->reserving)
    {
        promise.deliver(budget::reserve_reply{
            budget::reserve_verdict::undecidable, duration{0}});
    }
    this->reserving.clear();
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
