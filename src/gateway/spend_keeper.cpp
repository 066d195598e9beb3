#include "gateway/spend_keeper.hpp"

#include "gateway/call_after.hpp"

#include <chrono>
#include <utility>

namespace caperpath::gateway
{

namespace
{

constexpr duration retry_pause{150};

} // namespace

spend_keeper::spend_keeper(boost::asio::any_io_executor const& executor,
                           store::async_port port, std::string vm,
                           std::string address, incarnation_id self,
                           spend_listener listener, decision_log& log)
    : timer{executor}, port{std::move(port)}, vm{std::move(vm)},
      listener{std::move(listener)}, log{log}
{
    this->journal.written.router = std::move(self);
    this->journal.written.address = std::move(address);
}

void spend_keeper::start()
{
    this->began = this->now.now();
    this->read_old();
}

void spend_keeper::after(duration pause, std::function<void()> next)
{
    call_after(this->timer, pause, std::move(next));
}

void spend_keeper::read_old()
{
    this->port.read(budget::spend_key(this->vm),
                    [this](std::variant<store::row, error> const& reply)
                    {
                        if (auto const* fault = std::get_if<error>(&reply))
                        {
                            this->log.fault(*fault);
                            this->after(retry_pause,
                                        [this] { this->read_old(); });
                            return;
                        }
                        this->take_old(std::get<store::row>(reply));
                    });
}

void spend_keeper::take_old(store::row const& row)
{
    this->journal.version = row.version;
    auto const found =
        row.version == 0
            ? std::variant<budget::spend_row, error>{}
            : value_or_error([&] { return budget::decode_spend(row.value); });
    if (auto const* fault = std::get_if<error>(&found))
    {
        this->log.fault(*fault);
    }
    auto const* const before = std::get_if<budget::spend_row>(&found);
    // An own row is a first write whose answer was lost.
    auto const is_other = before != nullptr && row.version != 0 &&
                          before->router != this->journal.written.router;
    if (is_other)
    {
        this->old = *before;
    }
    this->first_write();
}

void spend_keeper::send(std::map<budget_id, budget::spend_line> const& lines,
                        std::function<void(store::commit_result const&)> done)
{
    auto const row = budget::next_row(this->journal, lines, this->now.now());
    this->journal = budget::sent(std::move(this->journal), row);
    auto const key = budget::spend_key(this->vm);
    store::transaction txn;
    txn.conditions.push_back({key, this->journal.version});
    txn.writes.push_back({key, budget::encode(row)});
    if (auto with_it = this->listener.with_it())
    {
        txn.writes.push_back(std::move(*with_it));
    }
    this->port.commit(txn, std::move(done));
}

/// The first write tells the store's time, which bounds what the router before
/// can have spent.
void spend_keeper::first_write()
{
    this->first_sent = this->now.now();
    this->send({}, [this](store::commit_result const& result)
               { this->first_wrote(result); });
}

void spend_keeper::first_wrote(store::commit_result const& result)
{
    if (result.outcome != store::commit_outcome::applied)
    {
        this->log.fault(result.fault);
        this->after(retry_pause, [this] { this->read_old(); });
        return;
    }
    this->journal =
        budget::acknowledged(std::move(this->journal), result.version,
                             result.store_ms, this->now.now());
    // The router before was dead when this one had its address, which is at
    // least so long before the store wrote the row. A store that is away for
    // long after a crash would otherwise make the whole share count as spent.
    auto const dead_ms = result.store_ms - (this->first_sent - this->began).ms;
    auto const spent =
        this->old ? budget::spent_at_most(
                        *this->old, this->journal.written.address, dead_ms)
                  : std::nullopt;
    auto const age = this->old ? dead_ms - this->old->at_ms : 0;
    this->log.write(log_weight::notable, "spend_row",
                    {{"before", this->old ? this->old->router.value : "none"},
                     {"known", spent ? "yes" : "no"},
                     {"age_ms", std::to_string(age)}});
    if (spent)
    {
        this->listener.inherit(this->old->router, *spent);
    }
    this->started = true;
    this->write();
}

void spend_keeper::hurry()
{
    if (!this->started || this->journal.fenced)
    {
        return;
    }
    // After a failed write its next try comes by itself: sent at each wish for
    // a higher line, a store that refuses at once would get 25 a second.
    if (this->writing || this->journal.pending)
    {
        this->hurried = true;
        return;
    }
    this->write();
}

void spend_keeper::write()
{
    if (this->writing)
    {
        return;
    }
    this->writing = true;
    // A row that is sent again was meant for an earlier moment.
    this->hurried = this->journal.pending.has_value();
    // One that is sent again has the lines of its first try.
    this->sent_at = this->hurried ? this->sent_at : this->now.now();
    this->send(this->listener.wanted(),
               [this](auto const& result) { this->wrote(result); });
}

void spend_keeper::wrote(store::commit_result const& result)
{
    this->writing = false;
    if (result.outcome != store::commit_outcome::applied)
    {
        this->refused(result);
        return;
    }
    this->journal =
        budget::acknowledged(std::move(this->journal), result.version,
                             result.store_ms, this->now.now());
    this->written_for = this->sent_at;
    this->listener.changed();
    if (this->hurried)
    {
        this->write();
        return;
    }
    this->after(this->listener.pause(), [this] { this->write(); });
}

/// A write without an answer may be applied later. Its row is our own then, and
/// the next write names its version.
void spend_keeper::refused(store::commit_result const& result)
{
    auto landed = false;
    for (auto const& row : result.failed)
    {
        auto const found =
            value_or_error([&] { return budget::decode_spend(row.value); });
        auto const* const in_store = std::get_if<budget::spend_row>(&found);
        auto const is_own = in_store != nullptr &&
                            in_store->router == this->journal.written.router;
        this->journal.fenced = in_store != nullptr && !is_own;
        this->journal.version = row.version;
        if (is_own)
        {
            this->journal = budget::found_own(std::move(this->journal),
                                              *in_store, row.version);
        }
        landed = landed || is_own;
    }
    this->listener.changed();
    if (this->journal.fenced)
    {
        this->log.write(log_weight::notable, "spend_row",
                        {{"outcome", "another process has this address"}});
        return;
    }
    if (landed)
    {
        this->write();
        return;
    }
    this->after(retry_pause, [this] { this->write(); });
}

token_count spend_keeper::limit(budget_id const& budget,
                                budget::held_tokens const& held,
                                instant at) const
{
    return this->started ? budget::spend_limit(this->journal, budget, held, at)
                         : 0;
}

bool spend_keeper::has_written_since(instant at) const
{
    return this->written_for >= at;
}

bool spend_keeper::ready() const
{
    return this->started;
}

} // namespace caperpath::gateway
