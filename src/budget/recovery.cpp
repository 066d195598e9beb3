#include <caperpath/budget/recovery.hpp>

#include "kept_bills.hpp"
#include "row_access.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace caperpath::budget
{

namespace
{

using store::commit_outcome;

error fault_at_step(char const* step, store::commit_result const& outcome)
{
    auto fault = outcome.fault;
    fault.step = step;
    return fault;
}

/// Changes the state of the holder row if it is `from`; returns the row found
/// otherwise. All writes of a dead holder are conditional on the version
/// before, so from here on the table rejects them, including those still in
/// flight.
result<store::row> change_holder_state(store::port const& port,
                                       incarnation_id const& incarnation,
                                       holder_state from, holder_state to)
{
    auto const key = holder_key(incarnation);
    store::commit_result outcome;
    for (int attempt = 0; attempt < max_attempts; ++attempt)
    {
        BOOST_LEAF_AUTO(rows, port.read({key}));
        auto found = find_row(rows, key);
        if (found.version == 0)
        {
            return fail({error_kind::not_found, "move holder", "table", key});
        }
        BOOST_LEAF_AUTO(row, decode_holder(found.value));
        if (row.state != from)
        {
            return found;
        }
        row.state = to;
        outcome = port.commit({{{key, found.version}}, {{key, encode(row)}}});
        if (rejected_without_conflict(outcome))
        {
            break;
        }
    }
    return fail(fault_at_step("move holder", outcome));
}

result<spent_row> read_spent(store::port const& port,
                             incarnation_id const& incarnation)
{
    auto const key = spent_key(incarnation);
    BOOST_LEAF_AUTO(rows, port.read({key}));
    auto const found = find_row(rows, key);
    if (found.version == 0)
    {
        return spent_row{};
    }
    return decode_spent(found.value);
}

result<std::vector<budget_id>>
budgets_with_share(store::port const& port, incarnation_id const& incarnation)
{
    auto const prefix = share_prefix(incarnation);
    BOOST_LEAF_AUTO(rows, scan_all(port, prefix));
    std::vector<budget_id> budgets;
    budgets.reserve(rows.size());
    for (auto const& row : rows)
    {
        budgets.push_back({row.key.substr(prefix.size())});
    }
    return budgets;
}

struct recovery_write
{
    recovered_share share;
    store::transaction txn;
};

/// It is unknown how many tokens the holder used without a bill; at most
/// `exposed`. These are held, since they would be used twice if returned.
recovery_write plan_recovery(death_proof const& proof, budget_id const& budget,
                             store::row const& budget_at, budget_row budget_now,
                             store::row const& share_at, share_row share,
                             token_count spent)
{
    auto const unspent = share.granted - spent;
    auto const held = std::min(unspent, share.exposed);
    recovered_share const outcome{budget, share.granted, spent, unspent - held,
                                  held};
    budget_now.granted -= outcome.returned;
    budget_now.retired += spent + held;
    budget_now.holders -= 1;
    store::transaction txn;
    txn.conditions = {{budget_at.key, budget_at.version},
                      {share_at.key, share_at.version}};
    txn.writes = {{budget_at.key, encode(budget_now)},
                  {share_at.key, std::nullopt}};
    if (held > 0)
    {
        txn.writes.push_back({held_key(budget, proof.incarnation),
                              encode(held_row{share.granted, spent, held})});
    }
    return {outcome, std::move(txn)};
}

/// Empty if another router has recovered the share.
result<std::optional<recovered_share>> recover_share(store::port const& port,
                                                     death_proof const& proof,
                                                     budget_id const& budget,
                                                     token_count spent)
{
    auto const budget_at = budget_key(budget);
    auto const share_at = share_key(budget, proof.incarnation);
    store::commit_result outcome;
    std::optional<recovered_share> possibly_recovered;
    for (int attempt = 0; attempt < max_attempts; ++attempt)
    {
        BOOST_LEAF_AUTO(rows, port.read({budget_at, share_at}));
        auto const share_found = find_row(rows, share_at);
        if (share_found.version == 0)
        {
            // If the row is gone after a lost response, report it as recovered
            // by this call: the reports may name a share twice, but never omit
            // it.
            return possibly_recovered;
        }
        auto const budget_found = find_row(rows, budget_at);
        BOOST_LEAF_AUTO(budget_now, decode_budget(budget_found.value));
        BOOST_LEAF_AUTO(share, decode_share(share_found.value));
        auto const plan = plan_recovery(proof, budget, budget_found, budget_now,
                                        share_found, share, spent);
        outcome = port.commit(plan.txn);
        if (outcome.outcome == commit_outcome::applied)
        {
            return std::optional{plan.share};
        }
        if (rejected_without_conflict(outcome))
        {
            break;
        }
        if (outcome.outcome == commit_outcome::unknown)
        {
            possibly_recovered = plan.share;
        }
    }
    return fail(fault_at_step("recover share", outcome));
}

} // namespace

result<std::vector<recovered_share>> recover(store::port const& port,
                                             death_proof const& proof)
{
    auto const& incarnation = proof.incarnation;
    BOOST_LEAF_AUTO(fenced,
                    change_holder_state(port, incarnation, holder_state::active,
                                        holder_state::fenced));
    BOOST_LEAF_AUTO(holder, decode_holder(fenced.value));
    std::vector<recovered_share> report;
    if (holder.state == holder_state::closed)
    {
        return report;
    }
    BOOST_LEAF_CHECK(settle_kept_bills(port, incarnation));
    // Read after fencing, so no batch of the dead holder can be added any more.
    BOOST_LEAF_AUTO(spent, read_spent(port, incarnation));
    BOOST_LEAF_AUTO(budgets, budgets_with_share(port, incarnation));
    for (auto const& budget : budgets)
    {
        auto const found = spent.spent.find(budget);
        auto const tokens = found == spent.spent.end() ? 0 : found->second;
        BOOST_LEAF_AUTO(share, recover_share(port, proof, budget, tokens));
        if (share)
        {
            report.push_back(*share);
        }
    }
    BOOST_LEAF_CHECK(change_holder_state(
        port, incarnation, holder_state::fenced, holder_state::closed));
    return report;
}

result<void> close_holder(store::port const& port, holder_view const& holder)
{
    BOOST_LEAF_AUTO(budgets, budgets_with_share(port, holder.incarnation));
    if (!budgets.empty())
    {
        return fail({error_kind::conflict, "close holder", "table",
                     "a share of " + budgets.front().value + " is left"});
    }
    BOOST_LEAF_CHECK(change_holder_state(
        port, holder.incarnation, holder_state::active, holder_state::closed));
    return {};
}

result<token_count> release_held(store::port const& port,
                                 budget_id const& budget,
                                 incarnation_id const& holder)
{
    auto const held_at = held_key(budget, holder);
    auto const budget_at = budget_key(budget);
    store::commit_result outcome;
    token_count possibly_released = 0;
    for (int attempt = 0; attempt < max_attempts; ++attempt)
    {
        BOOST_LEAF_AUTO(rows, port.read({held_at, budget_at}));
        auto const held_found = find_row(rows, held_at);
        auto const budget_found = find_row(rows, budget_at);
        if (held_found.version == 0)
        {
            return fail(
                {error_kind::not_found, "release held", "table", held_at});
        }
        BOOST_LEAF_AUTO(held, decode_held(held_found.value));
        if (held.released)
        {
            return possibly_released;
        }
        BOOST_LEAF_AUTO(row, decode_budget(budget_found.value));
        row.granted -= held.tokens;
        row.retired -= held.tokens;
        held.released = true;
        outcome = port.commit(
            {{{held_at, held_found.version}, {budget_at, budget_found.version}},
             {{held_at, encode(held)}, {budget_at, encode(row)}}});
        if (outcome.outcome == commit_outcome::applied)
        {
            return held.tokens;
        }
        if (rejected_without_conflict(outcome))
        {
            break;
        }
        possibly_released = outcome.outcome == commit_outcome::unknown
                                ? held.tokens
                                : possibly_released;
    }
    return fail(fault_at_step("release held", outcome));
}

} // namespace caperpath::budget
