#include "kept_bills.hpp"

#include "row_access.hpp"

#include <caperpath/budget/rows.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace caperpath::budget
{

namespace
{

using store::commit_outcome;

constexpr std::size_t max_rows_per_write = 50;

result<std::set<bill>> settled_bills(store::port const& port,
                                     incarnation_id const& holder)
{
    BOOST_LEAF_AUTO(rows, scan_all(port, ledger_prefix(holder)));
    std::set<bill> settled;
    for (auto const& row : rows)
    {
        BOOST_LEAF_AUTO(bills, decode_bills(row.value));
        for (auto const& one : bills)
        {
            settled.insert(one);
        }
    }
    return settled;
}

/// A bill may already be in the ledger if its row was written late, after its
/// batch. Such a row is only deleted.
result<store::transaction> plan_batch(store::port const& port,
                                      incarnation_id const& holder,
                                      std::vector<store::row> const& rows)
{
    auto const spent_at = spent_key(holder);
    BOOST_LEAF_AUTO(spent_rows, port.read({spent_at}));
    auto const found = find_row(spent_rows, spent_at);
    spent_row spent;
    if (found.version > 0)
    {
        BOOST_LEAF_ASSIGN(spent, decode_spent(found.value));
    }
    BOOST_LEAF_AUTO(settled, settled_bills(port, holder));
    store::transaction txn;
    std::vector<bill> missing;
    for (auto const& row : rows)
    {
        BOOST_LEAF_AUTO(bills, decode_bills(row.value));
        for (auto const& one : bills)
        {
            if (settled.insert(one).second)
            {
                spent.spent[one.budget] += one.tokens;
                missing.push_back(one);
            }
        }
        txn.writes.push_back({row.key, std::nullopt});
    }
    if (!missing.empty())
    {
        spent.seq += 1;
        auto const ledger = ledger_key(holder, spent.seq);
        txn.conditions = {{spent_at, found.version}, {ledger, 0}};
        txn.writes.push_back({spent_at, encode(spent)});
        txn.writes.push_back({ledger, encode(missing)});
    }
    return txn;
}

} // namespace

result<void> settle_kept_bills(store::port const& port,
                               incarnation_id const& holder)
{
    store::commit_result outcome;
    for (int attempt = 0; attempt < max_attempts;)
    {
        BOOST_LEAF_AUTO(rows, scan_all(port, kept_bill_prefix(holder)));
        if (rows.empty())
        {
            return {};
        }
        rows.resize(std::min(rows.size(), max_rows_per_write));
        BOOST_LEAF_AUTO(txn, plan_batch(port, holder, rows));
        outcome = port.commit(txn);
        if (rejected_without_conflict(outcome))
        {
            break;
        }
        attempt += outcome.outcome == commit_outcome::applied ? 0 : 1;
    }
    auto fault = outcome.fault;
    fault.step = "settle answered";
    return fail(std::move(fault));
}

} // namespace caperpath::budget
