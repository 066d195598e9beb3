#include <caperpath/budget/settlement.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace caperpath::budget
{

namespace
{

using store::commit_outcome;

spent_row spent_after_batch(settlement_state const& state)
{
    auto row = state.spent;
    row.seq += 1;
    for (auto const& one : state.batch)
    {
        row.spent[one.budget] += one.tokens;
    }
    return row;
}

/// The number of the batch is in the key of its ledger row and in the spent
/// row. A retry after a lost response finds the ledger row present,
/// or the spent row changed, and has no effect.
store::transaction batch_transaction(settlement_state const& state,
                                     holder_view const& holder)
{
    auto const next = spent_after_batch(state);
    auto const ledger = ledger_key(holder.incarnation, next.seq);
    auto const spent = spent_key(holder.incarnation);
    store::transaction txn{
        {{holder_key(holder.incarnation), holder.version},
         {ledger, 0},
         {spent, state.spent_version}},
        {{ledger, encode(state.batch)}, {spent, encode(next)}}};
    for (auto const& one : state.batch)
    {
        if (one.answer_kept)
        {
            txn.writes.push_back(
                {kept_bill_key(holder.incarnation, one), std::nullopt});
        }
    }
    return txn;
}

bool is_due(settlement_state const& state, settle_options const& options,
            instant now)
{
    if (state.pending.size() >= options.batch)
    {
        return true;
    }
    auto const due = [now](queued_bill const& one)
    {
        return one.due <= now;
    };
    return std::any_of(state.pending.begin(), state.pending.end(), due);
}

void fill_batch(settlement_state& state, std::size_t most)
{
    while (!state.pending.empty() && state.batch.size() < most)
    {
        state.batch.push_back(std::move(state.pending.front().cost));
        state.pending.pop_front();
    }
}

void store_failed(settlement_state& state, instant now)
{
    state.failures += 1;
    state.retry_at = now + backoff(state.failures, state.spent.seq);
}

settled_step confirm(settlement_state state)
{
    state.spent = spent_after_batch(state);
    state.spent_version += 1;
    state.failures = 0;
    auto durable = std::exchange(state.batch, {});
    return {std::move(state), std::move(durable)};
}

/// True if the rejection shows that the batch took effect earlier: its ledger
/// row exists. Only this holder writes under its own incarnation.
bool took_effect(settlement_state const& state, holder_view const& holder,
                 store::commit_result const& outcome)
{
    auto const ledger = ledger_key(holder.incarnation, state.spent.seq + 1);
    auto const exists = [&ledger](store::row const& one)
    {
        return one.key == ledger && one.version > 0;
    };
    return std::any_of(outcome.failed.begin(), outcome.failed.end(), exists);
}

} // namespace

settlement_state queue_bill(settlement_state state, bill cost,
                            config::budget_policy policy,
                            settle_options const& options, instant now)
{
    auto const pause = policy == config::budget_policy::overspend_first
                           ? options.durable_interval
                           : options.deferred_interval;
    state.pending.push_back({std::move(cost), now + pause});
    return state;
}

settle_step next_batch(settlement_state state, holder_view const& holder,
                       settle_options const& options, instant now, bool all)
{
    auto const blocked = state.busy || state.fenced || holder.version == 0 ||
                         now < state.retry_at;
    if (blocked)
    {
        return {std::move(state), std::nullopt};
    }
    if (state.batch.empty() && (all || is_due(state, options, now)))
    {
        fill_batch(state, options.batch);
    }
    if (state.batch.empty())
    {
        return {std::move(state), std::nullopt};
    }
    state.busy = true;
    auto txn = batch_transaction(state, holder);
    return {std::move(state), std::move(txn)};
}

settled_step batch_written(settlement_state state, holder_view const& holder,
                           store::commit_result const& outcome, instant now)
{
    state.busy = false;
    if (outcome.outcome == commit_outcome::applied)
    {
        return confirm(std::move(state));
    }
    if (outcome.outcome == commit_outcome::unknown || outcome.failed.empty())
    {
        store_failed(state, now);
        return {std::move(state), {}};
    }
    if (took_effect(state, holder, outcome))
    {
        return confirm(std::move(state));
    }
    // The holder row has changed: a recovery has begun and has the final state
    // of the spent row.
    state.fenced = true;
    return {std::move(state), {}};
}

instant next_due(settlement_state const& state, instant now)
{
    auto due = now + duration{1'000};
    for (auto const& one : state.pending)
    {
        due = std::min(due, one.due);
    }
    if (!state.batch.empty())
    {
        due = now;
    }
    return std::max(due, std::max(now, state.retry_at));
}

} // namespace caperpath::budget
