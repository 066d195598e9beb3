#include "gateway/budgets/budget_share_manager.hpp"
#include "gateway/run_after.hpp"
#include "gateway/run_part.hpp"

#include <caperpath/budget/rows.hpp>

#include <cmath>
#include <utility>

/// Store reads and writes for this router's budget shares, and what the log
/// shows of them.
namespace caperpath::gateway
{

namespace
{

constexpr int first_reads_per_turn = 8;
constexpr duration first_read_pause{2};

} // namespace

/// Reads the budget row, the first time when its turn comes: a configuration
/// may bring hundreds of new budgets, and reading all their rows in one turn
/// would delay the events of open streams. A reservation does not wait for it.
void budget_share_manager::begin_read(account& of)
{
    if (of.share.seen || !of.share.waiting.empty())
    {
        this->read_rows(of);
        return;
    }
    of.first_read_queued = true;
    this->first_reads.push_back(of.share.budget);
    if (this->first_reads.size() == 1)
    {
        run_after(this->first_read_timer, first_read_pause,
                  [this] { this->begin_first_reads(); });
    }
}

void budget_share_manager::begin_first_reads()
{
    for (int i = 0; i < first_reads_per_turn && !this->first_reads.empty(); ++i)
    {
        auto& of = this->accounts.at(this->first_reads.front());
        this->first_reads.pop_front();
        if (of.first_read_queued)
        {
            this->read_rows(of);
        }
    }
    if (!this->first_reads.empty())
    {
        run_after(this->first_read_timer, first_read_pause,
                  [this] { this->begin_first_reads(); });
    }
}

void budget_share_manager::read_rows(account& of)
{
    of.first_read_queued = false;
    if (!run_part(this->log, "read share", [&] { this->send_reads(of); }))
    {
        of.share =
            budget::after_failed_read(std::move(of.share), this->now.now());
    }
}

/// Reads the budget row. The share row has no other writer, so it is read as
/// well only if the response to a write of it was lost.
void budget_share_manager::send_reads(account& of)
{
    auto const id = of.share.budget;
    auto const share_name = budget::share_key(id, of.holder.incarnation);
    auto const finish_read =
        [this, id](std::variant<store::row, error> const& budget_reply,
                   store::row const& share)
    {
        this->finish_read(id, budget_reply, share);
    };
    auto const budget_name = budget::budget_key(id);
    if (!of.share.floor)
    {
        store::row const known{share_name, of.share.share_version,
                               budget::encode(of.share.share)};
        this->port.read(budget_name, [finish_read, known](auto const& reply)
                        { finish_read(reply, known); });
        return;
    }
    this->port.read(share_name,
                    [this, finish_read, budget_name](auto const& share_reply)
                    {
                        if (std::holds_alternative<error>(share_reply))
                        {
                            finish_read(share_reply, {});
                            return;
                        }
                        auto const share = std::get<store::row>(share_reply);
                        this->port.read(budget_name,
                                        [finish_read, share](auto const& reply)
                                        { finish_read(reply, share); });
                    });
}

/// A row that cannot be applied counts as not read, so that the share goes on.
void budget_share_manager::finish_read(
    budget_id const& budget,
    std::variant<store::row, error> const& budget_reply,
    store::row const& share)
{
    auto& of = this->accounts.at(budget);
    if (auto const* fault = std::get_if<error>(&budget_reply))
    {
        run_part(this->log, "budget row",
                 [&] { this->log.write_error(*fault); });
    }
    auto const* const row = std::get_if<store::row>(&budget_reply);
    auto const apply = [&]
    {
        std::vector<store::row> const rows{
            *row,
            share,
            {budget::holder_key(of.holder.incarnation), of.holder.version, ""}};
        // From a copy: an exception must not lose the open reservations.
        of.share =
            budget::after_read(of.share, of.holder, rows, this->now.now());
    };
    if (row == nullptr || !run_part(this->log, "budget row", apply))
    {
        of.share =
            budget::after_failed_read(std::move(of.share), this->now.now());
        this->settle_waiting(of);
        return;
    }
    of.raise_paid();
    this->settle_waiting(of);
    this->step(budget);
}

void budget_share_manager::write(account& of, store::transaction const& txn)
{
    // This program has no holder rows to check: only the next process at the
    // same address takes over a share, after this one is dead.
    auto own = txn;
    std::erase_if(
        own.conditions, [&of](store::condition const& one)
        { return one.key == budget::holder_key(of.holder.incarnation); });
    auto const id = of.share.budget;
    this->port.commit(own, [this, id](store::commit_result const& result)
                      { this->finish_write(id, result); });
}

/// A result that cannot be applied counts as unknown: the rows are read before
/// the share goes on.
void budget_share_manager::finish_write(budget_id const& budget,
                                        store::commit_result const& result)
{
    auto& of = this->accounts.at(budget);
    run_part(this->log, "draw", [&] { this->log_write(of, result); });
    auto const apply = [&]
    {
        // From a copy: an exception must not lose the open reservations.
        of.share =
            budget::after_write(of.share, of.holder, result, this->now.now());
    };
    if (!run_part(this->log, "result of draw", apply))
    {
        of.share = budget::after_write(std::move(of.share), of.holder,
                                       {store::commit_outcome::unknown, {}, {}},
                                       this->now.now());
    }
    of.raise_paid();
    this->settle_waiting(of);
    this->step(budget);
}

void budget_share_manager::log_write(account const& of,
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

std::vector<log_field>
budget_share_manager::log_fields(budget_id const& budget) const
{
    auto const found = this->accounts.find(budget);
    if (found == this->accounts.end())
    {
        return {{"budget", "unknown"}};
    }
    auto const& share = found->second.share;
    auto const limit = share.spend_limit.value_or(0);
    auto const age = share.seen ? (this->now.now() - share.seen->at).ms : -1;
    return {{"free", std::to_string(budget::free_tokens(share))},
            {"below_line", std::to_string(limit - budget::used_tokens(share))},
            {"paid", std::to_string(found->second.paid)},
            {"left", std::to_string(
                         share.seen ? budget::ungranted(share.seen->row) : 0)},
            {"wanted", std::to_string(share.seen ? share.seen->row.wanted : 0)},
            {"row_age_ms", std::to_string(age)},
            {"busy", share.busy ? "yes" : "no"},
            {"store_failures", std::to_string(share.failures)}};
}

} // namespace caperpath::gateway
