#ifndef CAPERPATH_BUDGET_ROWS_HPP
#define CAPERPATH_BUDGET_ROWS_HPP

#include <caperpath/base/error.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/budget/bill.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// The rows of budgets in the platform's table. Every transaction preserves
/// this invariant of each budget:
///
///   sum of spent <= retired + sum of share.granted = granted <= paid
namespace caperpath::budget
{

/// Row `budget/<budget>`. Immutable value.
struct budget_row
{
    token_count paid{};    ///< raised by top-ups only
    token_count granted{}; ///< in shares, spent by former holders, or held
    token_count retired{}; ///< the part of `granted` without a live share
    token_count
        wanted{}; ///< hint: lacking for a reservation that no draw covers
    std::int64_t holders{}; ///< number of share rows

    friend bool operator==(budget_row const&, budget_row const&) = default;
};

/// Row `share/<incarnation>/<budget>`; written by its holder alone until the
/// holder is fenced. Immutable value.
struct share_row
{
    token_count granted{};
    /// Upper bound on the tokens that the holder may have used without a bill
    /// in the ledger; held back if it dies.
    token_count exposed{};

    friend bool operator==(share_row const&, share_row const&) = default;
};

enum class holder_state
{
    active, ///< may draw, return and settle
    fenced, ///< proved dead; its writes are rejected, its shares are recovered
    closed  ///< has no shares left
};

/// Row `holder/<incarnation>`. Each write of a holder is conditional on this
/// row's version, so after a change of the row every late write is rejected.
/// Immutable value.
struct holder_row
{
    holder_state state{holder_state::active};
    std::string address; ///< "IP:port" that the process has bound
    failure_domain_id failure_domain;

    friend bool operator==(holder_row const&, holder_row const&) = default;
};

/// Row `spent/<incarnation>`: the tokens that the holder has settled, by
/// budget. Written together with the ledger row of batch `seq`. Immutable
/// value.
struct spent_row
{
    std::uint64_t seq{};
    std::map<budget_id, token_count> spent;

    friend bool operator==(spent_row const&, spent_row const&) = default;
};

/// Row `held/<budget>/<incarnation>`: the tokens that a recovery held back
/// since the dead holder may have used them without a bill. Immutable value.
struct held_row
{
    token_count granted{};
    token_count spent{};
    token_count tokens{}; ///< at most this much was used without a bill
    bool released{false}; ///< an operator returned the tokens to the budget

    friend bool operator==(held_row const&, held_row const&) = default;
};

/// Keys of the rows. Thread safe.
std::string budget_key(budget_id const& budget);
/// The holder comes first, so that one scan finds all shares of a dead holder
/// instead of reads of its share of each of all budgets (up to 850,000).
std::string share_prefix(incarnation_id const& holder);
std::string share_key(budget_id const& budget, incarnation_id const& holder);
std::string holder_key(incarnation_id const& holder);
/// Row that exists once the platform's VM list has shown the incarnation. It is
/// separate from the holder row, whose version must not change while the holder
/// is alive.
std::string listed_key(incarnation_id const& holder);
std::string spent_key(incarnation_id const& holder);
std::string ledger_key(incarnation_id const& holder, std::uint64_t seq);
std::string ledger_prefix(incarnation_id const& holder);
/// Row with the bill of a response that is kept for retries of its request. It
/// is written together with the response and deleted in the write that settles
/// the bill, so a router that dies in between leaves the bill as well as the
/// response. Two bills of one request, whose caller left and came back, have
/// separate rows.
std::string kept_bill_key(incarnation_id const& holder, bill const& cost);
std::string kept_bill_prefix(incarnation_id const& holder);
std::string held_key(budget_id const& budget, incarnation_id const& holder);
std::string topup_key(budget_id const& budget, std::string const& topup_id);

/// JSON text of a row. Thread safe.
std::string encode(budget_row const& row);
std::string encode(share_row const& row);
std::string encode(holder_row const& row);
std::string encode(spent_row const& row);
std::string encode(held_row const& row);
std::string encode(std::vector<bill> const& bills);

/// Decodes a row from JSON text. Thread safe. Error `invalid` if a member is
/// missing, has another type, or is a negative number of tokens.
result<budget_row> decode_budget(std::string const& text);
result<share_row> decode_share(std::string const& text);
result<holder_row> decode_holder(std::string const& text);
result<spent_row> decode_spent(std::string const& text);
result<held_row> decode_held(std::string const& text);
result<std::vector<bill>> decode_bills(std::string const& text);

} // namespace caperpath::budget

#endif
