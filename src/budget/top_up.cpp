#include <caperpath/budget/recovery.hpp>

#include "row_access.hpp"

#include <limits>
#include <string>
#include <variant>
#include <vector>

namespace caperpath::budget
{

namespace
{

result<budget_row> budget_or_new(store::row const& found)
{
    if (found.version == 0)
    {
        return budget_row{};
    }
    return decode_budget(found.value);
}

/// The top-up row holds its amount as text, which distinguishes a retry from
/// another top-up under a used id.
error id_reused(std::string const& key)
{
    return {error_kind::conflict, "top up", "table",
            key + " exists with another amount"};
}

/// After a write whose response was lost, a later failure leaves it unknown
/// whether the tokens were added. If the error were `unavailable`, an operator
/// would top up again under another id, and the customer would get twice the
/// paid tokens.
error top_up_fault(error fault, bool outcome_unknown)
{
    fault.step = "top up";
    if (outcome_unknown)
    {
        fault.kind = error_kind::timeout;
        fault.detail +=
            "; it may have taken effect, repeat it with the same id";
    }
    return fault;
}

} // namespace

result<token_count> top_up(store::port const& port, budget_id const& budget,
                           std::string const& topup_id, token_count tokens)
{
    auto const topup_at = topup_key(budget, topup_id);
    auto const budget_at = budget_key(budget);
    auto const amount = "{\"tokens\":" + std::to_string(tokens) + "}";
    store::commit_result outcome;
    bool outcome_unknown = false;
    for (int attempt = 0; attempt < max_attempts; ++attempt)
    {
        auto const read = value_or_error(
            [&] {
                return port.read({topup_at, budget_at});
            });
        if (auto const* const fault = std::get_if<error>(&read))
        {
            return fail(top_up_fault(*fault, outcome_unknown));
        }
        auto const& rows = std::get<std::vector<store::row>>(read);
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
        if (outcome.outcome == store::commit_outcome::applied)
        {
            return row.paid;
        }
        outcome_unknown = outcome_unknown ||
                          outcome.outcome == store::commit_outcome::unknown;
        if (rejected_without_conflict(outcome))
        {
            break;
        }
    }
    return fail(top_up_fault(outcome.fault, outcome_unknown));
}

} // namespace caperpath::budget
