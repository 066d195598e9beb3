#include "gateway/spend_keeper.hpp"

#include <chrono>
#include <utility>

namespace caperpath::gateway
{

namespace
{

/// A successor sees the row of two writes ago at worst; with this interval that
/// leaves it 1.3 s of the 2.7 s in which the ceilings are trusted.
constexpr duration write_interval{700};
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
    this->read_old();
}

void spend_keeper::after(duration pause, std::function<void()> next)
{
    this->timer.expires_after(std::chrono::milliseconds{pause.ms});
    this->timer.async_wait(
        [next = std::move(next)](boost::system::error_code fault)
        {
            if (!fault)
            {
                next();
            }
        });
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

store::transaction
spend_keeper::transaction_of(budget::spend_row const& row) const
{
    auto const key = budget::spend_key(this->vm);
    store::transaction txn;
    txn.conditions.push_back({key, this->journal.version});
    txn.writes.push_back({key, budget::encode(row)});
    return txn;
}

/// The first write tells the store's time, which shows whether the ceilings of
/// the router before can be trusted.
void spend_keeper::first_write()
{
    auto const row = budget::next_row(this->journal, {});
    this->port.commit(this->transaction_of(row),
                      [this, row](store::commit_result const& result)
                      { this->first_wrote(row, result); });
}

void spend_keeper::first_wrote(budget::spend_row const& row,
                               store::commit_result const& result)
{
    if (result.outcome != store::commit_outcome::applied)
    {
        this->log.fault(result.fault);
        this->after(retry_pause, [this] { this->read_old(); });
        return;
    }
    this->journal =
        budget::acknowledged(std::move(this->journal), row, result.version,
                             result.store_ms, this->now.now());
    auto const trusted =
        this->old
            ? budget::trusted_ceilings(*this->old, row.address, result.store_ms)
            : std::nullopt;
    auto const age =
        this->old ? result.store_ms - this->old->acknowledged_ms : 0;
    this->log.write(log_weight::notable, "spend_row",
                    {{"before", this->old ? this->old->router.value : "none"},
                     {"trusted", trusted ? "yes" : "no"},
                     {"age_ms", std::to_string(age)}});
    auto const go_on = [this]
    {
        this->started = true;
        this->write();
    };
    if (trusted)
    {
        this->listener.inherit(this->old->router, *trusted, go_on);
        return;
    }
    go_on();
}

void spend_keeper::hurry()
{
    if (!this->started || this->journal.fenced)
    {
        return;
    }
    if (this->writing)
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
    this->hurried = false;
    auto const row = budget::next_row(this->journal, this->listener.wanted());
    this->port.commit(this->transaction_of(row),
                      [this, row](store::commit_result const& result)
                      { this->wrote(row, result); });
}

void spend_keeper::wrote(budget::spend_row const& row,
                         store::commit_result const& result)
{
    this->writing = false;
    if (result.outcome == store::commit_outcome::applied)
    {
        this->journal =
            budget::acknowledged(std::move(this->journal), row, result.version,
                                 result.store_ms, this->now.now());
        this->listener.changed();
        if (this->hurried)
        {
            this->write();
            return;
        }
        this->after(write_interval, [this] { this->write(); });
        return;
    }
    this->refused(result);
}

/// A write without an answer may be applied later. Its row is our own then, and
/// the next write names its version.
void spend_keeper::refused(store::commit_result const& result)
{
    for (auto const& row : result.failed)
    {
        auto const found =
            value_or_error([&] { return budget::decode_spend(row.value); });
        auto const* const other = std::get_if<budget::spend_row>(&found);
        this->journal.fenced =
            other != nullptr && other->router != this->journal.written.router;
        this->journal.version = row.version;
    }
    if (this->journal.fenced)
    {
        this->log.write(log_weight::notable, "spend_row",
                        {{"outcome", "another process has this address"}});
        this->listener.changed();
        return;
    }
    this->listener.changed();
    this->after(retry_pause, [this] { this->write(); });
}

token_count spend_keeper::limit(budget_id const& budget,
                                token_count granted) const
{
    return this->started ? budget::spend_limit(this->journal, budget, granted,
                                               this->now.now())
                         : 0;
}

bool spend_keeper::ready() const
{
    return this->started;
}

} // namespace caperpath::gateway
