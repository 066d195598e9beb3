#include "gateway/budgets/spend_row_writer.hpp"

#include "gateway/run_after.hpp"
#include "gateway/run_part.hpp"

#include <chrono>
#include <utility>

namespace caperpath::gateway
{

namespace
{

constexpr duration retry_pause{150};

} // namespace

spend_row_writer::spend_row_writer(boost::asio::any_io_executor const& executor,
                                   store::async_port port, std::string vm,
                                   std::string address, incarnation_id self,
                                   spend_listener listener, decision_log& log)
    : timer{executor}, port{std::move(port)}, vm{std::move(vm)},
      listener{std::move(listener)}, log{log}
{
    this->journal.written.router = std::move(self);
    this->journal.written.address = std::move(address);
}

void spend_row_writer::start()
{
    this->started_at = this->now.now();
    this->read_previous();
}

void spend_row_writer::schedule(duration pause, std::function<void()> next)
{
    run_after(this->timer, pause, std::move(next));
}

/// Without a next write the spend limits would end, and with them all
/// reservations, so one is scheduled whatever `part` throws.
void spend_row_writer::go_on_after(std::function<void()> const& part)
{
    if (run_part(this->log, "spend_row", part) || this->journal.address_lost)
    {
        return;
    }
    this->writing = false;
    this->schedule(retry_pause,
                   [this]
                   {
                       if (this->first_row_written)
                       {
                           this->write();
                           return;
                       }
                       this->read_previous();
                   });
}

void spend_row_writer::read_previous()
{
    this->port.read(budget::spend_key(this->vm),
                    [this](std::variant<store::row, error> const& reply)
                    {
                        this->go_on_after(
                            [&]
                            {
                                if (auto const* fault =
                                        std::get_if<error>(&reply))
                                {
                                    this->log.write_error(*fault);
                                    this->schedule(retry_pause, [this]
                                                   { this->read_previous(); });
                                    return;
                                }
                                this->use_previous(std::get<store::row>(reply));
                            });
                    });
}

void spend_row_writer::use_previous(store::row const& row)
{
    this->journal.version = row.version;
    auto const found =
        row.version == 0
            ? std::variant<budget::spend_row, error>{}
            : value_or_error([&] { return budget::decode_spend(row.value); });
    if (auto const* fault = std::get_if<error>(&found))
    {
        this->log.write_error(*fault);
    }
    auto const* const previous_row = std::get_if<budget::spend_row>(&found);
    // A row of this router is a first write whose response was lost.
    auto const is_other = previous_row != nullptr && row.version != 0 &&
                          previous_row->router != this->journal.written.router;
    if (is_other)
    {
        this->previous = *previous_row;
    }
    this->first_write();
}

void spend_row_writer::send(
    std::map<budget_id, budget::spend_limit_curve> const& limits,
    std::function<void(store::commit_result const&)> done)
{
    auto const row = budget::next_row(this->journal, limits, this->now.now());
    this->journal = budget::sent(std::move(this->journal), row);
    auto const key = budget::spend_key(this->vm);
    store::transaction txn;
    txn.conditions.push_back({key, this->journal.version});
    txn.writes.push_back({key, budget::encode(row)});
    run_part(this->log, "row beside spend_row",
             [&]
             {
                 if (auto extra_write = this->listener.extra_write())
                 {
                     txn.writes.push_back(std::move(*extra_write));
                 }
             });
    this->port.commit(txn, std::move(done));
}

/// The response to the first write has the store's time, which bounds what the
/// previous router can have spent.
void spend_row_writer::first_write()
{
    this->first_sent_at = this->now.now();
    this->send({},
               [this](store::commit_result const& result) {
                   this->go_on_after([&] { this->finish_first_write(result); });
               });
}

void spend_row_writer::finish_first_write(store::commit_result const& result)
{
    if (result.outcome != store::commit_outcome::applied)
    {
        this->log.write_error(result.fault);
        this->schedule(retry_pause, [this] { this->read_previous(); });
        return;
    }
    this->journal =
        budget::acknowledged(std::move(this->journal), result.version,
                             result.store_ms, this->now.now());
    // The previous router was dead when this one bound its address, which is
    // at least `first_sent_at - started_at` earlier than the store time of the
    // row. Without subtracting this, a long outage of the store after a crash
    // would make the whole share count as spent.
    auto const dead_ms =
        result.store_ms - (this->first_sent_at - this->started_at).ms;
    auto const spent =
        this->previous
            ? budget::max_spent_by_dead(*this->previous,
                                        this->journal.written.address, dead_ms)
            : std::nullopt;
    auto const age = this->previous ? dead_ms - this->previous->at_ms : 0;
    this->log.write(
        log_weight::notable, "spend_row",
        {{"before", this->previous ? this->previous->router.value : "none"},
         {"known", spent ? "yes" : "no"},
         {"age_ms", std::to_string(age)}});
    if (spent)
    {
        // Not called again, since a part of the shares may be inherited.
        run_part(this->log, "inherit",
                 [&]
                 { this->listener.inherit(this->previous->router, *spent); });
    }
    this->first_row_written = true;
    this->write();
}

void spend_row_writer::write_soon()
{
    if (!this->first_row_written || this->journal.address_lost)
    {
        return;
    }
    // After a failed write a retry is already scheduled. If each waiting
    // reservation sent another write, a store that rejects at once would get a
    // write per tick of budget_share_manager, 25 a second.
    if (this->writing || this->journal.pending)
    {
        this->write_again = true;
        return;
    }
    this->write();
}

void spend_row_writer::write()
{
    if (this->writing)
    {
        return;
    }
    this->go_on_after([this] { this->send_limits(); });
}

void spend_row_writer::send_limits()
{
    auto const required = this->listener.required();
    this->writing = true;
    // A pending row makes this write a retry. A retry sends the old row again,
    // so a row with the current limits must follow.
    this->write_again = this->journal.pending.has_value();
    // A retry has the limits of its first attempt, and so keeps its send time.
    this->sent_at = this->write_again ? this->sent_at : this->now.now();
    this->send(required,
               [this](store::commit_result const& result)
               {
                   this->writing = false;
                   this->go_on_after([&] { this->finish_write(result); });
               });
}

void spend_row_writer::finish_write(store::commit_result const& result)
{
    if (result.outcome != store::commit_outcome::applied)
    {
        this->retry_rejected(result);
        return;
    }
    this->journal =
        budget::acknowledged(std::move(this->journal), result.version,
                             result.store_ms, this->now.now());
    this->acknowledged_sent_at = this->sent_at;
    this->report_change();
    if (this->write_again)
    {
        this->write();
        return;
    }
    this->schedule(this->listener.interval(), [this] { this->write(); });
}

/// A write without a response may be applied later. The row in the store is
/// then this router's own, and the next write is conditional on its version.
void spend_row_writer::retry_rejected(store::commit_result const& result)
{
    auto was_applied = false;
    for (auto const& row : result.failed)
    {
        auto const found =
            value_or_error([&] { return budget::decode_spend(row.value); });
        auto const* const in_store = std::get_if<budget::spend_row>(&found);
        auto const is_own = in_store != nullptr &&
                            in_store->router == this->journal.written.router;
        this->journal.address_lost = in_store != nullptr && !is_own;
        this->journal.version = row.version;
        if (is_own)
        {
            this->journal = budget::found_own(std::move(this->journal),
                                              *in_store, row.version);
        }
        was_applied = was_applied || is_own;
    }
    this->report_change();
    if (this->journal.address_lost)
    {
        this->log.write(log_weight::notable, "spend_row",
                        {{"outcome", "another process has this address"}});
        return;
    }
    if (was_applied)
    {
        this->write();
        return;
    }
    this->schedule(retry_pause, [this] { this->write(); });
}

void spend_row_writer::report_change()
{
    run_part(this->log, "spend limits", this->listener.changed);
}

token_count spend_row_writer::limit(budget_id const& budget,
                                    budget::held_tokens const& held,
                                    instant at) const
{
    return this->first_row_written
               ? budget::spend_limit(this->journal, budget, held, at)
               : 0;
}

bool spend_row_writer::has_written_since(instant at) const
{
    return this->acknowledged_sent_at >= at;
}

bool spend_row_writer::ready() const
{
    return this->first_row_written;
}

} // namespace caperpath::gateway
