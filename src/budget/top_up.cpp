#include <caperpath/budget/recovery.hpp>

#include "row_access.hpp"

#include <limits>
#include <string>

namespace caperpath::budget
{

namespace
{

result<budget_row> budget_or_new(platform::row const& found)
{
    if (found.version == 0)
    {
        return budget_row{};
    }
    return decode_budget(found.value);
}

/// The top-up row holds its amount as text, so that a repeat can be told from
/// another top-up under a used id.
error id_reused(std::string const& key)
{
    return {error_kind::conflict, "top up", "table",
            key + " exists with another amount"};
}

} // namespace

result<token_count> top_up(platform::port const& port, budget_id const& budget,
                           std::string const& topup_id, token_count tokens)
{
    auto const topup_at = topup_key(budget, topup_id);
    auto const budget_at = budget_key(budget);
    auto const amount = "{\"tokens\":" + std::to_string(tokens) + "}";
    platform::commit_result outcome;
    for (int attempt = 0; attempt < most_attempts; ++attempt)
    {
        BOOST_LEAF_AUTO(rows, port.read({topup_at, budget_at}));
        auto const topup_found = find_row(rows, topup_at);
        auto const budget_found = find_row(rows, budget_at);
        BOOST_LEAF_AUTO(row, budget_or_new(budget_found));
        if (topup_found.version > 0)
        {
            if (topup_found.value != amount)
            {
                return fail(id_reused(topup_at));
            }
            return row.paid;
        }
        auto const most = std::numeric_limits<token_count>::max();
        if (tokens <= 0 || row.paid > most - tokens)
        {
            return fail({error_kind::invalid, "top up", "",
                         "expected a positive number of tokens"});
        }
        row.paid += tokens;
        outcome =
            port.commit({{{topup_at, 0}, {budget_at, budget_found.version}},
                         {{topup_at, amount}, {budget_at, encode(row)}}});
        if (outcome.outcome == platform::commit_outcome::applied)
        {
            return row.paid;
        }
        if (is_turned_away(outcome))
        {
            break;
        }
    }
    auto fault = outcome.fault;
    fault.step = "top up";
    return fail(fault);
}

} // namespace caperpath::budget
