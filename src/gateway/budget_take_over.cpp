#include "gateway/budget_book.hpp"

#include <caperpath/budget/rows.hpp>
#include <caperpath/fleet/placement.hpp>

#include <algorithm>
#include <utility>

/// How a budget book takes over the shares of the dead router before it. The
/// share rows get this router's name, with what they hold; the budget rows stay
/// as they are, so that routers which all start at once do not contend for
/// them.
///
/// After a crash of many routers the rows of all budgets are renamed at once,
/// one of each router in each partition of the store, which takes one after the
/// other: calls time out or are refused for too many. What a rename that failed
/// held would be lost to its customer, so each is tried until it is decided.
/// A rename whose answer was lost may take effect seconds later: given up, it
/// would leave a row of this router whose spent part nobody knows of.
namespace caperpath::gateway
{

void budget_book::inherit(incarnation_id const& dead,
                          std::map<budget_id, budget::spend_line> const& left)
{
    for (auto const& [budget, line] : left)
    {
        auto& of = this->open_account(budget);
        of.taking = take_over{dead, line.spent, line.received, line.given,
                              this->now.now()};
        if (line.has_share)
        {
            this->try_take_over(of);
            continue;
        }
        this->took_nothing(of);
    }
}

/// There is no share row: what other routers gave is all that was held.
void budget_book::took_nothing(account& of)
{
    this->own_inherited(of, 0, 0);
    this->settle_waiting(of);
}

void budget_book::own_inherited(account& of, token_count granted,
                                std::uint64_t version)
{
    auto const all = granted + of.taking->received;
    auto const spent = std::min(of.taking->spent, all);
    of.share = budget::received(std::move(of.share), of.taking->received);
    of.share = budget::inherit(std::move(of.share), granted, spent, version);
    of.share.given += std::min(of.taking->given, spent);
    this->note_take_over(of, granted);
    of.taking.reset();
}

void budget_book::try_take_over(account& of)
{
    auto& taking = *of.taking;
    if (taking.busy || this->now.now() < taking.next_try)
    {
        return;
    }
    taking.busy = true;
    taking.tries += 1;
    auto const id = of.share.budget;
    this->port.read(budget::share_key(id, taking.dead),
                    [this, id](auto const& reply)
                    {
                        if (auto const* fault = std::get_if<error>(&reply))
                        {
                            this->log.fault(*fault);
                            this->take_over_failed(id);
                            return;
                        }
                        this->rename_share(id, std::get<store::row>(reply));
                    });
}

void budget_book::rename_share(budget_id const& budget, store::row const& found)
{
    auto& of = this->accounts.at(budget);
    auto const own = budget::share_key(budget, of.holder.incarnation);
    if (found.version == 0)
    {
        // Given back at a planned stop, or renamed by a try whose answer was
        // lost.
        this->port.read(own,
                        [this, budget](auto const& reply)
                        {
                            if (auto const* fault = std::get_if<error>(&reply))
                            {
                                this->log.fault(*fault);
                                this->take_over_failed(budget);
                                return;
                            }
                            auto const& row = std::get<store::row>(reply);
                            this->took_over(budget, row, row.version);
                        });
        return;
    }
    store::transaction txn;
    txn.conditions = {{found.key, found.version}, {own, 0}};
    txn.writes = {{own, found.value}, {found.key, std::nullopt}};
    this->port.commit(txn,
                      [this, budget, found](store::commit_result const& result)
                      {
                          if (result.outcome == store::commit_outcome::applied)
                          {
                              this->took_over(budget, found, result.version);
                              return;
                          }
                          this->take_over_failed(budget);
                      });
}

void budget_book::take_over_failed(budget_id const& budget)
{
    auto& of = this->accounts.at(budget);
    auto& taking = *of.taking;
    taking.busy = false;
    auto const salt =
        fleet::stable_hash(this->incarnation.value + "/" + budget.value);
    taking.next_try = this->now.now() + budget::backoff(taking.tries, salt);
}

void budget_book::took_over(budget_id const& budget, store::row const& row,
                            std::uint64_t version)
{
    auto& of = this->accounts.at(budget);
    auto const text =
        value_or_error([&] { return budget::decode_share(row.value); });
    auto const* const share = std::get_if<budget::share_row>(&text);
    if (version == 0 || share == nullptr)
    {
        this->took_nothing(of);
        return;
    }
    this->own_inherited(of, share->granted, version);
    this->settle_waiting(of);
    this->step(budget);
}

void budget_book::note_take_over(account const& of, token_count granted)
{
    this->log.write(log_weight::notable, "inherit",
                    {{"budget", of.share.budget.value},
                     {"granted", std::to_string(granted)},
                     {"received", std::to_string(of.taking->received)},
                     {"spent", std::to_string(of.taking->spent)},
                     {"tries", std::to_string(of.taking->tries)}});
}

} // namespace caperpath::gateway
