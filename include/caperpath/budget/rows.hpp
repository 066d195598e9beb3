#ifndef CAPERPATH_BUDGET_ROWS_HPP
#define CAPERPATH_BUDGET_ROWS_HPP

#include <caperpath/base/error.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/budget/bill.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// The rows that budgets keep in the platform's table. The formula that every
/// transaction upholds, for each budget:
///
///   sum of spent <= retired + sum of share.granted = granted <= paid
namespace caperpath::budget
{

/// Row `budget/<budget>`. Immutable value.
struct budget_row
{
    token_count paid{};     ///< raised by top-ups only
    token_count granted{};  ///< out in shares, spent by former holders, or held
    token_count retired{};  ///< the part of `granted` without a live share
    token_count wanted{};   ///< hint: a reservation that no draw could cover
    std::int64_t holders{}; ///< number of share rows

    friend bool operator==(budget_row const&, budget_row const&) = default;
};

/// Row `share/<incarnation>/<budget>`; written by its holder alone until the
/// holder is fenced. Immutable value.
struct share_row
{
    token_count granted{};
    /// The most that the holder may have answered for without a bill in the
    /// ledger; held back when it dies.
    token_count exposed{};

    friend bool operator==(share_row const&, share_row const&) = default;
};

enum class holder_state
{
    active, ///< may draw, return and settle
    fenced, ///< proved dead; its writes are refused, its shares are recovered
    closed  ///< left nothing behind
};

/// Row `holder/<incarnation>`. Each write of a holder names this row's version,
/// so that changing it refuses every late write. Immutable value.
struct holder_row
{
    holder_state state{holder_state::active};
    std::string address; ///< "IP:port" that the process has bound
    failure_domain_id failure_domain;

    friend bool operator==(holder_row const&, holder_row const&) = default;
};

/// Row `spent/<incarnation>`: what the holder has settled so far, by budget.
/// Written together with the ledger row of batch `seq`. Immutable value.
struct spent_row
{
    std::uint64_t seq{};
    std::map<budget_id, token_count> spent;

    friend bool operator==(spent_row const&, spent_row const&) = default;
};

/// Row `held/<budget>/<incarnation>`: the report of a recovery that could not
/// prove what the dead holder had answered for. Immutable value.
struct held_row
{
    token_count granted{};
    token_count spent{};
    token_count tokens{}; ///< at most this much was answered without a bill
    bool released{false}; ///< an operator gave the tokens back to the budget

    friend bool operator==(held_row const&, held_row const&) = default;
};

/// Keys. Thread safe.
std::string budget_key(budget_id const& budget);
/// The holder first: what one dead holder leaves is found by one scan, and not
/// by asking for its share of each of 850,000 budgets.
std::string share_prefix(incarnation_id const& holder);
std::string share_key(budget_id const& budget, incarnation_id const& holder);
std::string holder_key(incarnation_id const& holder);
/// Row that exists once the platform's VM list has shown the incarnation. Apart
/// from the holder row, whose version must not change while it is alive.
std::string listed_key(incarnation_id const& holder);
std::string spent_key(incarnation_id const& holder);
std::string ledger_key(incarnation_id const& holder, std::uint64_t seq);
std::string ledger_prefix(incarnation_id const& holder);
/// Row that holds the bill of an answer which is kept for whoever asks again.
/// It is written together with the answer and deleted together with the bill's
/// own settlement, so that a router that dies in between leaves the bill behind
/// and not only the answer. Two bills of one request, whose caller left and
/// came back, have a row each.
std::string answered_key(incarnation_id const& holder, bill const& cost);
std::string answered_prefix(incarnation_id const& holder);
std::string held_key(budget_id const& budget, incarnation_id const& holder);
std::string topup_key(budget_id const& budget, std::string const& topup_id);

/// JSON text of a row. Thread safe.
std::string encode(budget_row const& row);
std::string encode(share_row const& row);
std::string encode(holder_row const& row);
std::string encode(spent_row const& row);
std::string encode(held_row const& row);
std::string encode(std::vector<bill> const& bills);

/// The row of a JSON text. Thread safe. Error `invalid` when a member is
/// missing, of another type, or negative where it counts tokens.
result<budget_row> decode_budget(std::string const& text);
result<share_row> decode_share(std::string const& text);
result<holder_row> decode_holder(std::string const& text);
result<spent_row> decode_spent(std::string const& text);
result<held_row> decode_held(std::string const& text);
result<std::vector<bill>> decode_bills(std::string const& text);

} // namespace caperpath::budget

#endif
