#include "gateway/budget_book.hpp"

#include <caperpath/budget/rows.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

/// What a budget book reads from the store and writes there.
namespace caperpath::gateway
{

/// The share rows of `dead` get this router's name, with what they hold. The
/// budget rows stay as they are, so that routers which all start at once do not
/// contend for them.
void budget_book::inherit(incarnation_id const& dead,
                          std::map<budget_id, token_count> const& spent_at_most,
                          std::function<void()> const& done)
{
    std::shared_ptr<void> const pending{nullptr, [done](void*)
                                        {
                                            done();
                                        }};
    for (auto const& entry : spent_at_most)
    {
        this->port.read(budget::share_key(entry.first, dead),
                        [this, budget = entry.first, spent = entry.second,
                         pending](auto const& reply)
                        {
                            if (auto const* fault = std::get_if<error>(&reply))
                            {
                                this->log.fault(*fault);
                                return;
                            }
                            this->take_over(budget, spent,
                                            std::get<store::row>(reply),
                                            pending);
                        });
    }
}

void budget_book::take_over(budget_id const& budget, token_count spent,
                            store::row const& found,
                            std::shared_ptr<void> const& pending)
{
    auto const old =
        value_or_error([&] { return budget::decode_share(found.value); });
    auto const* const share = std::get_if<budget::share_row>(&old);
    if (found.version == 0 || share == nullptr)
    {
        return; // given back at a planned stop
    }
    auto& of = this->open_account(budget);
    auto const own = budget::share_key(budget, of.holder.incarnation);
    store::transaction txn;
    txn.conditions = {{found.key, found.version}, {own, 0}};
    txn.writes = {{own, found.value}, {found.key, std::nullopt}};
    this->port.commit(
        txn,
        [this, budget, granted = share->granted,
         spent = std::min(spent, share->granted), pending](store::commit_result const& result)
        {
            auto& of = this->accounts.at(budget);
            if (result.outcome == store::commit_outcome::applied)
            {
                of.share = budget::inherit(std::move(of.share), granted, spent,
                                           result.version);
            }
            else
            {
                // If it is applied later, the row has this router's name and
                // nothing would tell that part of it is spent: this router
                // goes on under another one.
                of.holder.incarnation.value += "-2";
            }
            this->log.write(
                log_weight::notable, "inherit",
                {{"budget", budget.value},
                 {"granted", std::to_string(granted)},
                 {"spent", std::to_string(spent)},
                 {"outcome", result.outcome == store::commit_outcome::applied
                                 ? "applied"
                                 : std::string{to_string(result.fault.kind)}}});
        });
}

/// The budget row is read; the own share row has no other writer and is read
/// too only when the answer to a write of it was lost.
void budget_book::look(account& of)
{
    auto const id = of.share.budget;
    auto const share_name = budget::share_key(id, of.holder.incarnation);
    auto const finish_look =
        [this, id](std::variant<store::row, error> const& budget_reply,
                   store::row const& share)
    {
        auto& account = this->accounts.at(id);
        if (auto const* fault = std::get_if<error>(&budget_reply))
        {
            this->log.fault(*fault);
            account.share =
                budget::look_failed(std::move(account.share), this->now.now());
            this->settle_waiting(account);
            return;
        }
        std::vector<store::row> const rows{
            std::get<store::row>(budget_reply),
            share,
            {budget::holder_key(account.holder.incarnation),
             account.holder.version, ""}};
        account.share = budget::looked(std::move(account.share), account.holder,
                                       rows, this->now.now());
        account.raise_paid();
        this->settle_waiting(account);
        this->step(id);
    };
    auto const budget_name = budget::budget_key(id);
    if (!of.share.floor)
    {
        store::row const known{share_name, of.share.share_version,
                               budget::encode(of.share.share)};
        this->port.read(budget_name, [finish_look, known](auto const& reply)
                        { finish_look(reply, known); });
        return;
    }
    this->port.read(share_name,
                    [this, finish_look, budget_name](auto const& share_reply)
                    {
                        if (std::holds_alternative<error>(share_reply))
                        {
                            finish_look(share_reply, {});
                            return;
                        }
                        auto const share = std::get<store::row>(share_reply);
                        this->port.read(budget_name,
                                        [finish_look, share](auto const& reply)
                                        { finish_look(reply, share); });
                    });
}

void budget_book::write(account& of, store::transaction const& txn)
{
    // Nobody takes shares back here, so there is no holder row to check.
    auto own = txn;
    std::erase_if(
        own.conditions, [&of](store::condition const& one)
        { return one.key == budget::holder_key(of.holder.incarnation); });
    auto const id = of.share.budget;
    this->port.commit(own,
                      [this, id](store::commit_result const& result)
                      {
                          auto& account = this->accounts.at(id);
                          this->note_write(account, result);
                          account.share = budget::wrote(
                              std::move(account.share), account.holder, result,
                              this->now.now());
                          account.raise_paid();
                          this->settle_waiting(account);
                          this->step(id);
                      });
}

void budget_book::note_write(account const& of,
                             store::commit_result const& result)
{
    auto const& share = of.share;
    auto const to = share.planned && share.planned->share
                        ? share.planned->share->granted
                        : share.share.granted;
    this->log.write(
        log_weight::notable, "draw",
        {{"budget", share.budget.value},
         {"outcome", result.outcome == store::commit_outcome::applied
                         ? "applied"
                         : std::string{to_string(result.fault.kind)}},
         {"granted_before", std::to_string(share.share.granted)},
         {"granted_after", std::to_string(to)},
         {"free", std::to_string(budget::free_tokens(share))},
         {"per_second", std::to_string(std::llround(share.rate.per_second))},
         {"left", std::to_string(share.seen ? budget::ungranted(share.seen->row)
                                            : 0)}});
}

} // namespace caperpath::gateway
