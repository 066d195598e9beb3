#ifndef CAPERPATH_TESTS_BUDGET_AUDIT_HPP
#define CAPERPATH_TESTS_BUDGET_AUDIT_HPP

#include <caperpath/budget/rows.hpp>
#include <caperpath/store/memory_table.hpp>

#include <algorithm>
#include <map>
#include <string>

namespace caperpath::budget
{

/// The sums over all rows of one budget.
struct audit
{
    budget_row row;
    token_count in_shares{}; ///< sum of share.granted
    token_count spent{};     ///< sum of all spent rows
    token_count
        spent_by_former{}; ///< the part of `spent` by holders without a share
    token_count held{};    ///< held back and not released
    token_count billed{};  ///< sum of all bills in the ledger
    std::int64_t shares{};
    std::map<request_id, int> bills; ///< how often each request was billed
};

constexpr std::size_t whole_table = 1'000'000;

/// Adds up the rows of `budget`. Throws if a row cannot be decoded.
inline audit audit_of(store::memory_table const& table, budget_id const& budget)
{
    audit found;
    for (auto const& row : table.read({budget_key(budget)}))
    {
        found.row = decode_budget(row.value).value();
    }
    for (auto const& row : table.scan("share/", "", whole_table))
    {
        if (row.key.ends_with("/" + budget.value))
        {
            found.in_shares += decode_share(row.value).value().granted;
            found.shares += 1;
        }
    }
    for (auto const& row : table.scan("spent/", "", whole_table))
    {
        auto const spent = decode_spent(row.value).value().spent;
        auto const own = spent.find(budget);
        auto const tokens = own == spent.end() ? 0 : own->second;
        incarnation_id const holder{row.key.substr(row.key.find('/') + 1)};
        found.spent += tokens;
        found.spent_by_former +=
            table.read({share_key(budget, holder)}).empty() ? tokens : 0;
    }
    for (auto const& row :
         table.scan("held/" + budget.value + "/", "", whole_table))
    {
        auto const held = decode_held(row.value).value();
        found.held += held.released ? 0 : held.tokens;
    }
    for (auto const& row : table.scan("ledger/", "", whole_table))
    {
        auto const bills = decode_bills(row.value).value();
        for (auto const& one : bills)
        {
            if (one.budget == budget)
            {
                found.billed += one.tokens;
                found.bills[one.request] += 1;
            }
        }
    }
    return found;
}

/// Returns whether the formula of `rows.hpp` holds, `retired` is the sum of
/// what former holders spent and of what is held back, and each request is
/// billed once.
inline bool is_consistent(audit const& found)
{
    auto const once =
        std::all_of(found.bills.begin(), found.bills.end(),
                    [](auto const& entry) { return entry.second == 1; });
    return once && found.billed == found.spent &&
           found.spent <= found.row.granted &&
           found.spent_by_former + found.held == found.row.retired &&
           found.in_shares + found.row.retired == found.row.granted &&
           found.row.granted <= found.row.paid &&
           found.shares == found.row.holders;
}

} // namespace caperpath::budget

#endif
