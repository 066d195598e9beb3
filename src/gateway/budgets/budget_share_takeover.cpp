#include "gateway/budgets/budget_share_manager.hpp"

#include "gateway/run_part.hpp"

#include <caperpath/budget/rows.hpp>
#include <caperpath/fleet/placement.hpp>

#include <algorithm>
#include <utility>

/// Takes over the shares of the previous, dead router at this address. The
/// share rows are renamed to this router and keep their tokens. The budget rows
/// do not change, so that routers which all start at once do not contend for
/// them.
///
/// After a crash of many routers, the share rows of all budgets are renamed at
/// once. Each store partition gets a rename from every router and processes
/// them one after the other, so calls time out or are rejected for overload.
/// The tokens of an abandoned rename would be lost to the customer, so each
/// rename is retried until its outcome is known. A rename whose response was
/// lost may take effect seconds later: if it was abandoned, a row of this
/// router would exist whose spent part is unknown.
namespace caperpath::gateway
{

void budget_share_manager::inherit(
    incarnation_id const& dead,
    std::map<budget_id, budget::spend_limit_curve> const& limits)
{
    for (auto const& [budget, limit] : limits)
    {
        // All of them before the first call: each bounds what may be spent.
        this->open_account(budget).pending_takeover = share_takeover{
            dead, limit.spent, limit.received, limit.given, this->now.now()};
    }
    for (auto const& [budget, limit] : limits)
    {
        auto& of = this->accounts.at(budget);
        if (limit.has_share)
        {
            this->try_takeover(of);
            continue;
        }
        run_part(this->log, "inherit", [&] { this->finish_without_share(of); });
    }
}

/// Handles the end of a call of a takeover. One that could not be handled is
/// made again, unless it had its effect: tokens must not be added twice.
void budget_share_manager::finish_takeover_call(
    budget_id const& budget, std::function<void()> const& part)
{
    if (!run_part(this->log, "inherit", part) &&
        this->accounts.at(budget).pending_takeover)
    {
        this->takeover_failed(budget);
    }
}

/// Without a share row the dead router held only what other routers gave. An
/// undecodable share row counts as none: its tokens stay granted and unused.
void budget_share_manager::finish_without_share(account& of)
{
    this->adopt_tokens(of, 0, 0);
    this->settle_waiting(of);
}

void budget_share_manager::adopt_tokens(account& of, token_count granted,
                                        std::uint64_t version)
{
    auto const from = *std::exchange(of.pending_takeover, std::nullopt);
    auto const all = granted + from.received;
    auto const spent = std::min(from.spent, all);
    of.share = budget::add_received(std::move(of.share), from.received);
    of.share = budget::inherit(std::move(of.share), granted, spent, version);
    of.share.given += std::min(from.given, spent);
    this->log_takeover(of.share.budget, from, granted);
}

void budget_share_manager::try_takeover(account& of)
{
    auto& takeover = *of.pending_takeover;
    if (takeover.busy || this->now.now() < takeover.next_try)
    {
        return;
    }
    takeover.busy = true;
    takeover.tries += 1;
    auto const id = of.share.budget;
    this->finish_takeover_call(id, [&] { this->read_inherited(id); });
}

void budget_share_manager::read_inherited(budget_id const& budget)
{
    auto const& takeover = *this->accounts.at(budget).pending_takeover;
    this->port.read(
        budget::share_key(budget, takeover.dead),
        [this, budget](std::variant<store::row, error> const& reply)
        {
            this->finish_takeover_call(
                budget,
                [&]
                {
                    if (auto const* fault = std::get_if<error>(&reply))
                    {
                        this->takeover_failed(budget);
                        this->log.write_error(*fault);
                        return;
                    }
                    this->rename_share(budget, std::get<store::row>(reply));
                });
        });
}

void budget_share_manager::rename_share(budget_id const& budget,
                                        store::row const& found)
{
    auto& of = this->accounts.at(budget);
    auto const own = budget::share_key(budget, of.holder.incarnation);
    if (found.version == 0)
    {
        // The share was returned at a planned stop, or renamed by an attempt
        // whose response was lost.
        this->port.read(
            own,
            [this, budget](std::variant<store::row, error> const& reply)
            {
                this->finish_takeover_call(
                    budget, [&] { this->find_renamed(budget, reply); });
            });
        return;
    }
    store::transaction txn;
    txn.conditions = {{found.key, found.version}, {own, 0}};
    txn.writes = {{own, found.value}, {found.key, std::nullopt}};
    this->port.commit(
        txn,
        [this, budget, found](store::commit_result const& result)
        {
            if (result.outcome != store::commit_outcome::applied)
            {
                this->takeover_failed(budget);
                return;
            }
            this->finish_takeover_call(
                budget,
                [&] { this->finish_takeover(budget, found, result.version); });
        });
}

void budget_share_manager::find_renamed(
    budget_id const& budget, std::variant<store::row, error> const& reply)
{
    if (auto const* fault = std::get_if<error>(&reply))
    {
        this->takeover_failed(budget);
        this->log.write_error(*fault);
        return;
    }
    auto const& row = std::get<store::row>(reply);
    this->finish_takeover(budget, row, row.version);
}

void budget_share_manager::takeover_failed(budget_id const& budget)
{
    auto& of = this->accounts.at(budget);
    auto& takeover = *of.pending_takeover;
    takeover.busy = false;
    auto const salt =
        fleet::stable_hash(this->incarnation.value + "/" + budget.value);
    takeover.next_try = this->now.now() + budget::backoff(takeover.tries, salt);
}

void budget_share_manager::finish_takeover(budget_id const& budget,
                                           store::row const& row,
                                           std::uint64_t version)
{
    auto& of = this->accounts.at(budget);
    auto const text =
        value_or_error([&] { return budget::decode_share(row.value); });
    auto const* const share = std::get_if<budget::share_row>(&text);
    if (version == 0 || share == nullptr)
    {
        // No share row, or an undecodable one.
        this->finish_without_share(of);
        return;
    }
    this->adopt_tokens(of, share->granted, version);
    this->settle_waiting(of);
    this->step(budget);
}

void budget_share_manager::log_takeover(budget_id const& budget,
                                        share_takeover const& of,
                                        token_count granted)
{
    this->log.write(log_weight::notable, "inherit",
                    {{"budget", budget.value},
                     {"granted", std::to_string(granted)},
                     {"received", std::to_string(of.received)},
                     {"spent", std::to_string(of.spent)},
                     {"tries", std::to_string(of.tries)}});
}

} // namespace caperpath::gateway
