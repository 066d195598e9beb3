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

/// The state of one budget at one router: a plain value, and pure functions
/// that return the next state. The caller executes the steps that `next_step`
/// returns, one at a time, and passes their results back.
namespace caperpath::budget
{

/// The holder row as this router wrote it. Each write is conditional on its
/// version.
struct holder_view
{
    incarnation_id incarnation;
    std::uint64_t version{};

    friend bool operator==(holder_view const&, holder_view const&) = default;
};

/// The budget row as last read.
struct seen_budget
{
    budget_row row;
    std::uint64_t version{}; ///< 0: the row does not exist
    instant at{};            ///< when the row had this version
    instant wanted_since{};  ///< since when `wanted` has its value

    friend bool operator==(seen_budget const&, seen_budget const&) = default;
};

/// Waits that ended without enough tokens for their reservation.
struct unmet_wait
{
    token_count amount{}; ///< the smallest amount waited for
    std::uint64_t budget_version{};
    instant since{}; ///< end of the first wait at this version
    instant last{};  ///< end of the latest wait

    friend bool operator==(unmet_wait const&, unmet_wait const&) = default;
};

/// A reservation that waits for a draw.
struct waiting_reservation
{
    request_id request;
    token_count amount{};
    instant since{};
    instant until{};
    bool is_transfer{false}; ///< the tokens go to another router

    friend bool operator==(waiting_reservation const&,
                           waiting_reservation const&) = default;
};

/// The rows after the write in progress, if it takes effect.
struct planned_write
{
    std::optional<share_row> share;
    std::optional<budget_row> budget;
    bool retires{false}; ///< deletes the share row

    friend bool operator==(planned_write const&,
                           planned_write const&) = default;
};

/// What one router knows about one budget and holds of it. Value type.
struct share_state
{
    budget_id budget;
    config::budget_policy policy{};
    sizing sizes;
    bool fenced{false}; ///< a recovery changed the holder row: no admission

    std::optional<seen_budget> seen;
    share_row share;               ///< as last confirmed
    std::uint64_t share_version{}; ///< 0: no share row yet
    std::optional<planned_write> planned;
    /// Set while writes whose response was lost may still take effect: the
    /// smallest share that any of them leaves.
    std::optional<share_row> floor;
    bool read_first{false};   ///< a response was lost: read the rows first
    token_count own_wanted{}; ///< what this router wrote to `wanted`

    /// What this router should hold according to the reports of all routers.
    /// Set by the caller; empty while unknown.
    std::optional<allocation> current_allocation;
    /// True if this holder must return tokens for others: the holders with more
    /// free tokens together have less than is needed.
    bool must_return{true};
    instant moved_at{}; ///< latest draw or return that no request needed

    token_count received{}; ///< from other routers, in addition to draws
    token_count given{};    ///< to other routers; counted as spent here
    /// This router requests tokens from other routers, and draws from the
    /// budget row only while `may_draw_from_store` is set.
    bool has_peers{false};
    bool may_draw_from_store{true};

    /// Upper bound on what may be spent now, independent of the granted tokens.
    std::optional<token_count> spend_limit;

    token_count reserved{};  ///< open reservations
    token_count unsettled{}; ///< finished, not yet in the ledger
    /// Spent for good: in the ledger, sent to other routers, or counted as
    /// spent by the dead router whose share was taken over.
    token_count settled{};
    std::unordered_map<request_id, token_count> open;
    std::vector<waiting_reservation> waiting;

    /// If the budget row has stayed unchanged for long enough after this wait,
    /// requests for at least as much are rejected without waiting.
    std::optional<unmet_wait> last_unmet_wait;

    rate_meter rate;
    rate_meter others;         ///< draws of the other holders, less returns
    token_count last_amount{}; ///< of the latest reservation
    bool busy{false};          ///< a step is in progress
    bool closing{false};       ///< returns everything, admits nothing
    int failures{};            ///< consecutive failures of the store
    int conflicts{};           ///< consecutive conflicts with other routers
    std::optional<instant> down_since;
    instant retry_at{};

    friend bool operator==(share_state const&, share_state const&) = default;
};

/// The state of a budget that this router has not drawn from. Thread safe.
share_state make_share(budget_id budget, config::budget_policy policy,
                       sizing sizes);

/// Tokens that may be reserved now without the store or another router. Thread
/// safe.
token_count free_tokens(share_state const& state);

/// Everything that was or may still be spent: settled, unsettled and reserved
/// tokens. Thread safe.
token_count used_tokens(share_state const& state);

/// The sum of the waiting reservations. Thread safe.
token_count waiting_tokens(share_state const& state);

/// Takes over the share of a dead holder with `granted` tokens, of which up to
/// `spent` may be spent. One transaction has renamed its row to this holder's
/// and given it `version`. @pre nothing was drawn yet. Thread safe.
share_state inherit(share_state state, token_count granted, token_count spent,
                    std::uint64_t version);

/// Adds `tokens` received from another router. Thread safe.
share_state add_received(share_state state, token_count tokens);

/// Counts the tokens of an admitted reservation for another router as spent
/// here, before they are sent. @pre `request` is open. Thread safe.
share_state spend_transfer(share_state state, request_id const& request);

/// The state and, if the reservation was decided, the reply.
struct reserve_step
{
    share_state state;
    std::optional<reserve_reply> reply;
};

/// Reserves the worst case, rejects it, or queues the reservation (no reply
/// yet; a later call that decides waiting reservations returns it). Thread
/// safe.
reserve_step reserve(share_state state, reserve_request const& request,
                     instant now);

/// Ends a reservation: its bill is unsettled from now on. `accepted` is false
/// if no such reservation is open (a retry): nothing changed and the bill must
/// not be queued again. Thread safe.
struct finish_step
{
    share_state state;
    bool accepted{};
    /// The response may end before the bill is durable: the policy is
    /// false_refusals_first, and the tokens that a recovery of this router
    /// would hold back cover the bill.
    bool response_may_end{};
    bill cost; ///< at most the reserved tokens
};
finish_step finish(share_state state, finish_request const& request,
                   instant now);

/// Removes a waiting or open reservation whose request was not executed. Thread
/// safe.
share_state cancel(share_state state, request_id const& request);

/// Marks unsettled `tokens` as written to the ledger. Thread safe.
share_state settled(share_state state, token_count tokens);

/// A waiting reservation that was admitted or rejected.
struct decided_reservation
{
    request_id request;
    reserve_reply reply;

    friend bool operator==(decided_reservation const&,
                           decided_reservation const&) = default;
};

struct decision_step
{
    share_state state;
    std::vector<decided_reservation> decisions;
};

/// Admits waiting reservations that fit now and rejects those that timed out or
/// cannot fit. Call after each step and as time passes. Thread safe.
decision_step decide_waiting(share_state state, instant now);

/// Rejects the callers' reservations that the free tokens do not cover, because
/// no other router has tokens to give. `retry_after` as in `reserve_reply`.
/// Thread safe.
decision_step reject_uncovered(share_state state, duration retry_after,
                               instant now);

enum class step_kind
{
    none,
    read, ///< read the budget, share and holder rows
    write ///< commit `txn`
};

/// What to do next for this budget. `state.busy` is set while the step is in
/// progress; no other step is returned in the meantime, so draws are coalesced.
struct table_step
{
    share_state state;
    step_kind kind{step_kind::none};
    store::transaction txn;
};

/// Chooses a draw, a return, a read or nothing. Thread safe.
table_step next_step(share_state state, holder_view const& holder, instant now);

/// When `next_step` may return a step without any event. Thread safe.
instant next_due(share_state const& state, instant now);

/// Applies the result of a read: the rows that exist. Thread safe.
share_state after_read(share_state state, holder_view const& holder,
                       std::vector<store::row> const& rows, instant now);

/// Applies the budget row from a feed, or notes that the feed shows no newer
/// version than the one last read. Thread safe.
share_state after_feed_update(share_state state, store::row const& budget,
                              instant now);
share_state after_feed_unchanged(share_state state, instant now);

/// Records that a read failed. Thread safe.
share_state after_failed_read(share_state state, instant now);

/// Records whether another operation (settlement) reached the store. Thread
/// safe.
share_state store_result(share_state state, bool reached, instant now);

/// The keys that a read step reads, in no particular order. Thread safe.
std::vector<std::string> read_keys(share_state const& state,
                                   holder_view const& holder);

/// Stops admission. From now on `next_step` gives the tokens of the share back
/// as they become free and deletes its row when nothing is open. Thread safe.
share_state close(share_state state);

/// True if this router has no share row of this budget, and no write is in
/// progress or may still take effect. It may hold tokens received from other
/// routers, which are never returned to the budget row. Thread safe.
bool is_closed(share_state const& state);

/// Applies the result of a write that `next_step` returned. Thread safe.
share_state after_write(share_state state, holder_view const& holder,
                        store::commit_result const& outcome, instant now);

} // namespace caperpath::budget

#endif
