#ifndef CAPERPATH_BUDGET_SHARE_HPP
#define CAPERPATH_BUDGET_SHARE_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/budget/bill.hpp>
#include <caperpath/budget/holdings.hpp>
#include <caperpath/budget/rows.hpp>
#include <caperpath/budget/sizing.hpp>
#include <caperpath/store/table.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// One budget as one router holds it: a plain value and functions from value
/// to value. The caller carries out the steps that `next_step` asks for, one
/// at a time, and brings their results back.
namespace caperpath::budget
{

/// The holder row as this router wrote it; each write names its version.
struct holder_view
{
    incarnation_id incarnation;
    std::uint64_t version{};

    friend bool operator==(holder_view const&, holder_view const&) = default;
};

/// The budget row as last seen.
struct seen_budget
{
    budget_row row;
    std::uint64_t version{}; ///< 0: the row does not exist
    instant at{};            ///< it was so at this time
    instant wish_since{};    ///< it names the tokens wanted since then

    friend bool operator==(seen_budget const&, seen_budget const&) = default;
};

/// What a whole wait could not bring together.
struct fruitless_wait
{
    token_count amount{}; ///< the least of those waits
    std::uint64_t budget_version{};
    instant since{}; ///< end of the first wait at this version
    instant last{};  ///< end of the latest

    friend bool operator==(fruitless_wait const&,
                           fruitless_wait const&) = default;
};

/// A reservation that waits for a draw.
struct waiting_reservation
{
    request_id request;
    token_count amount{};
    instant since{};
    instant until{};
    bool is_transfer{false}; ///< for another router

    friend bool operator==(waiting_reservation const&,
                           waiting_reservation const&) = default;
};

/// What the write under way makes of the rows if it takes effect.
struct planned_write
{
    std::optional<share_row> share;
    std::optional<budget_row> budget;
    bool retires{false}; ///< deletes the share row

    friend bool operator==(planned_write const&,
                           planned_write const&) = default;
};

/// What one router knows and holds of one budget. Value type.
struct share_state
{
    budget_id budget;
    config::budget_policy policy{};
    sizing sizes;
    bool fenced{false}; ///< the holder row was changed by somebody else

    std::optional<seen_budget> seen;
    share_row share;               ///< as last confirmed
    std::uint64_t share_version{}; ///< 0: no share row yet
    std::optional<planned_write> planned;
    /// Set while writes whose answer was lost may still take effect: the least
    /// that any of them leaves.
    std::optional<share_row> floor;
    bool look_first{false}; ///< a lost answer: see what became of it
    token_count wanting{};  ///< what this router put into `wanted`

    /// What this router should hold by what all tell of themselves; set by the
    /// caller, nothing while it is not known.
    std::optional<deal> dealt;
    /// Of what the others want or lack, this holder has to return some: those
    /// that have more to spare do not cover it.
    bool must_return{true};
    instant moved_at{}; ///< the latest draw or return without need

    token_count received{}; ///< from other routers, beside what was drawn
    token_count given{};    ///< to other routers; counted as spent here
    /// Other routers are asked for tokens, and this one draws only if it has
    /// to: `draws` tells.
    bool has_peers{false};
    bool draws{true};

    /// No more than this may be spent at present, whatever is granted.
    std::optional<token_count> spend_limit;

    token_count reserved{};  ///< open reservations
    token_count unsettled{}; ///< finished, not yet in the ledger
    token_count settled{};   ///< in the ledger, by this incarnation
    std::unordered_map<request_id, token_count> open;
    std::vector<waiting_reservation> waiting;

    /// When the budget row has not changed for long, waiting for as much again
    /// is of no use.
    std::optional<fruitless_wait> fruitless;

    rate_meter rate;
    rate_meter others; ///< what the other holders draw, less what they return
    token_count last_amount{}; ///< of the latest reservation
    bool busy{false};          ///< a step is under way
    bool closing{false};       ///< returns everything, admits nothing
    int failures{};            ///< of the store, in a row
    int conflicts{};           ///< with writes of other routers, in a row
    std::optional<instant> down_since;
    instant retry_at{};

    friend bool operator==(share_state const&, share_state const&) = default;
};

/// A state of a budget that this router has not drawn on. Thread safe.
share_state make_share(budget_id budget, config::budget_policy policy,
                       sizing sizes);

/// Tokens that may be reserved now without asking anybody. Thread safe.
token_count free_tokens(share_state const& state);

/// All that was or may yet be spent: settled, unsettled and reserved. Thread
/// safe.
token_count used_tokens(share_state const& state);

/// The sum of the reservations that wait. Thread safe.
token_count waiting_tokens(share_state const& state);

/// The share of a dead holder with `granted` tokens, of which up to `spent` may
/// be gone, as this holder's own: its row was renamed in one transaction that
/// gave it `version`. @pre nothing was drawn yet. Thread safe.
share_state inherit(share_state state, token_count granted, token_count spent,
                    std::uint64_t version);

/// `tokens` came from another router. Thread safe.
share_state received(share_state state, token_count tokens);

/// A reservation for another router was admitted: its tokens are on their way
/// and spent here. @pre `request` is open. Thread safe.
share_state handed_over(share_state state, request_id const& request);

/// The state and, when the reservation was decided, the reply.
struct reserve_step
{
    share_state state;
    std::optional<reserve_reply> reply;
};

/// Sets the worst case aside, refuses, or lets the reservation wait (no reply
/// yet; `answer_waiting` will give it). Thread safe.
reserve_step reserve(share_state state, reserve_request const& request,
                     instant now);

/// Ends a reservation: its bill is unsettled from now on. `accepted` is false
/// when no such reservation is open (a repeat): nothing changed and the bill
/// must not be queued again. Thread safe.
struct finish_step
{
    share_state state;
    bool accepted{};
    /// The answer may end before the bill is durable: false_refusals_first,
    /// and what the recovery of this router would hold back covers it.
    bool may_end{};
    bill cost; ///< at most what had been reserved
};
finish_step finish(share_state state, finish_request const& request,
                   instant now);

/// Forgets a reservation, waiting or open, that nothing was run for. Thread
/// safe.
share_state cancel(share_state state, request_id const& request);

/// `tokens` of this budget are in the ledger now. Thread safe.
share_state settled(share_state state, token_count tokens);

/// A reservation that stopped waiting.
struct answered_reservation
{
    request_id request;
    reserve_reply reply;

    friend bool operator==(answered_reservation const&,
                           answered_reservation const&) = default;
};

struct answer_step
{
    share_state state;
    std::vector<answered_reservation> answers;
};

/// Admits what fits now and refuses what waited long enough or cannot fit.
/// Call after each step and when time passes. Thread safe.
answer_step answer_waiting(share_state state, instant now);

/// Refuses the callers' reservations that what is free does not cover: whoever
/// could give tokens has none. `retry_after` as in `reserve_reply`. Thread
/// safe.
answer_step refuse_uncovered(share_state state, duration retry_after,
                             instant now);

enum class step_kind
{
    none,
    look, ///< read the budget row and the share row: `looked`
    write ///< commit `txn`: `wrote`
};

/// What to do next for this budget. While it is under way `state.busy` is set
/// and no other step is given out, so draws are coalesced.
struct table_step
{
    share_state state;
    step_kind kind{step_kind::none};
    store::transaction txn;
};

/// Chooses a draw, a return, a look or nothing. Thread safe.
table_step next_step(share_state state, holder_view const& holder, instant now);

/// When `next_step` may have something to do without any event. Thread safe.
instant next_due(share_state const& state, instant now);

/// The result of a look: the rows that exist. Thread safe.
share_state looked(share_state state, holder_view const& holder,
                   std::vector<store::row> const& rows, instant now);

/// The budget row as a feed shows it, or nothing new: it is still as it was
/// seen. Thread safe.
share_state noticed(share_state state, store::row const& budget, instant now);
share_state unchanged(share_state state, instant now);

/// A look failed. Thread safe.
share_state look_failed(share_state state, instant now);

/// The store was reached, or not, on behalf of something else (settlement).
/// Thread safe.
share_state store_result(share_state state, bool reached, instant now);

/// The keys of a look, in no particular order. Thread safe.
std::vector<std::string> look_keys(share_state const& state,
                                   holder_view const& holder);

/// Stops admission; from now on `next_step` returns the share as it becomes
/// free and deletes its row when nothing is open. Thread safe.
share_state close(share_state state);

/// True when nothing of this budget is left at this router. Thread safe.
bool is_closed(share_state const& state);

/// The result of a write that `next_step` asked for. Thread safe.
share_state wrote(share_state state, holder_view const& holder,
                  store::commit_result const& outcome, instant now);

} // namespace caperpath::budget

#endif
