#include <caperpath/budget/recovery.hpp>

#include "answered.hpp"
#include "row_access.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace caperpath::budget
{

namespace
{

using store::commit_outcome;

error gave_up(char const* step, store::commit_result const& outcome)
{
    auto fault = outcome.fault;
    fault.step = step;
    return fault;
}

/// Moves the holder row on from one state. Any write of the dead holder names
/// the version before it, so from here on the table refuses them all, also
/// those that are still on their way.
result<store::row> move_holder(store::port const& port,
                               incarnation_id const& incarnation,
                               holder_state from, holder_state to)
{
    auto const key = holder_key(incarnation);
    store::commit_result outcome;
    for (int attempt = 0; attempt < most_attempts; ++attempt)
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
        if (is_turned_away(outcome))
        {
            break;
        }
    }
    return fail(gave_up("move holder", outcome));
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

/// What the holder had answered for without a bill is unknown; at most
/// `exposed` it was. Given out again, those tokens would be used twice.
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

/// Empty when somebody else has taken the share back.
result<std::optional<recovered_share>> recover_share(store::port const& port,
                                                     death_proof const& proof,
                                                     budget_id const& budget,
                                                     token_count spent)
{
    auto const budget_at = budget_key(budget);
    auto const share_at = share_key(budget, proof.incarnation);
    store::commit_result outcome;
    std::optional<recovered_share> tried;
    for (int attempt = 0; attempt < most_attempts; ++attempt)
    {
        BOOST_LEAF_AUTO(rows, port.read({budget_at, share_at}));
        auto const share_found = find_row(rows, share_at);
        if (share_found.version == 0)
        {
            // Gone after a lost answer of ours: we did it, as far as anybody
            // can tell, and the report may name it twice but never not at all.
            return tried;
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
        if (is_turned_away(outcome))
        {
            break;
        }
        if (outcome.outcome == commit_outcome::unknown)
        {
            tried = plan.share;
        }
    }
    return fail(gave_up("recover share", outcome));
}

} // namespace

result<std::vector<recovered_share>> recover(store::port const& port,
                                             death_proof const& proof)
{
    auto const& incarnation = proof.incarnation;
    BOOST_LEAF_AUTO(fenced, move_holder(port, incarnation, holder_state::active,
                                        holder_state::fenced));
    BOOST_LEAF_AUTO(holder, decode_holder(fenced.value));
    std::vector<recovered_share> report;
    if (holder.state == holder_state::closed)
    {
        return report;
    }
    BOOST_LEAF_CHECK(settle_answered(port, incarnation));
    // Read after the fence: no batch of the old holder can be added any more.
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
    BOOST_LEAF_CHECK(move_holder(port, incarnation, holder_state::fenced,
                                 holder_state::closed));
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
    BOOST_LEAF_CHECK(move_holder(port, holder.incarnation, holder_state::active,
                                 holder_state::closed));
    return {};
}

result<token_count> release_held(store::port const& port,
                                 budget_id const& budget,
                                 incarnation_id const& holder)
{
    auto const held_at = held_key(budget, holder);
    auto const budget_at = budget_key(budget);
    store::commit_result outcome;
    token_count tried = 0;
    for (int attempt = 0; attempt < most_attempts; ++attempt)
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
            return tried;
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
        if (is_turned_away(outcome))
        {
            break;
        }
        tried =
            outcome.outcome == commit_outcome::unknown ? held.tokens : tried;
    }
    return fail(gave_up("release held", outcome));
}

} // namespace caperpath::budget
