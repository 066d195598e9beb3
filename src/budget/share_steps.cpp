#include "share_rules.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace caperpath::budget
{

namespace
{

constexpr std::int64_t ms_per_second = 1'000;
constexpr token_count min_exposed_requests = 4;

/// Tokens that the waiting reservations lack.
struct demand
{
    token_count need{};  ///< a draw of this much admits those that fit
    token_count unmet{}; ///< missing for the largest of the others
};

demand demand_of(share_state const& state)
{
    demand found;
    auto const free = reservable(state);
    auto const left = ungranted(state.seen->row);
    token_count covered = 0;
    for (auto const& one : state.waiting)
    {
        if (covered + one.amount <= free + left)
        {
            covered += one.amount;
            continue;
        }
        found.unmet = std::max(found.unmet, one.amount - free);
    }
    found.need = std::max<token_count>(0, covered - free);
    return found;
}

bool is_low(share_state const& state, holder_view const& holder)
{
    if (state.current_allocation)
    {
        return static_cast<double>(free_tokens(state)) <
               static_cast<double>(state.current_allocation->target) *
                   state.sizes.draw_below_target;
    }
    auto const salt = std::hash<incarnation_id>{}(holder.incarnation) +
                      static_cast<std::size_t>(state.share_version);
    auto const range = state.sizes.highest_level - state.sizes.lowest_level;
    auto const level = state.sizes.lowest_level + range * jitter_fraction(salt);
    auto const ahead = static_cast<double>(tokens_ahead(state));
    return state.last_amount > 0 &&
           static_cast<double>(free_tokens(state)) < ahead * level;
}

/// Tokens that a recovery has to hold back: the bills of the traffic of
/// `sizes.exposure`.
token_count exposure(share_state const& state, token_count granted)
{
    if (state.sizes.exposure == duration{0})
    {
        return 0;
    }
    auto const traffic = state.rate.per_second *
                         static_cast<double>(state.sizes.exposure.ms) /
                         ms_per_second;
    auto const least = min_exposed_requests * state.last_amount;
    return std::clamp<token_count>(static_cast<token_count>(traffic),
                                   std::min(least, granted), granted);
}

bool exposure_is_low(share_state const& state)
{
    return state.share.exposed < exposure(state, state.share.granted) / 2;
}

store::condition holder_is(holder_view const& holder)
{
    return {holder_key(holder.incarnation), holder.version};
}

/// A write of the planned rows, conditional on none of them having changed.
table_step write_step(share_state state, holder_view const& holder,
                      planned_write planned)
{
    store::transaction txn;
    txn.conditions.push_back(holder_is(holder));
    if (planned.budget)
    {
        auto const key = budget_key(state.budget);
        txn.conditions.push_back({key, state.seen->version});
        txn.writes.push_back({key, encode(*planned.budget)});
    }
    if (planned.share || planned.retires)
    {
        auto const key = share_key(state.budget, holder.incarnation);
        txn.conditions.push_back({key, state.share_version});
        auto const value = planned.share ? std::optional{encode(*planned.share)}
                                         : std::nullopt;
        txn.writes.push_back({key, value});
    }
    state.busy = true;
    state.planned = planned;
    return {std::move(state), step_kind::write, std::move(txn)};
}

table_step read_step(share_state state)
{
    state.busy = true;
    return {std::move(state), step_kind::read, {}};
}

table_step no_step(share_state state)
{
    return {std::move(state), step_kind::none, {}};
}

/// Moves `tokens` from the budget row to the share row, or back if negative.
table_step move_step(share_state state, holder_view const& holder,
                     token_count tokens, token_count unmet)
{
    auto budget = state.seen->row;
    budget.granted += tokens;
    budget.holders += is_newcomer(state) ? 1 : 0;
    auto const is_mine =
        state.own_wanted > 0 && budget.wanted == state.own_wanted;
    if ((is_mine && unmet == 0) || ungranted(budget) >= budget.wanted)
    {
        budget.wanted = 0;
    }
    auto share = state.share;
    share.granted += tokens;
    share.exposed = exposure(state, share.granted);
    return write_step(std::move(state), holder, {share, budget, false});
}

table_step publish_wanted_step(share_state state, holder_view const& holder,
                               token_count unmet)
{
    auto budget = state.seen->row;
    budget.wanted = unmet;
    state.own_wanted = unmet;
    return write_step(std::move(state), holder, {std::nullopt, budget, false});
}

/// Rewrites the share row without moving tokens: this resolves a floor, or
/// raises the amount that is held back if this router dies.
table_step rewrite_share_step(share_state state, holder_view const& holder)
{
    // A first draw whose response was lost may not have created the row. Moving
    // 0 tokens creates it and counts this holder.
    if (is_newcomer(state))
    {
        return move_step(std::move(state), holder, 0, 0);
    }
    auto share = state.share;
    share.exposed = exposure(state, share.granted);
    return write_step(std::move(state), holder, {share, std::nullopt, false});
}

table_step retire_step(share_state state, holder_view const& holder)
{
    auto budget = state.seen->row;
    auto const back = std::min(free_tokens(state), state.share.granted);
    budget.granted -= back;
    budget.retired += state.share.granted - back;
    budget.holders -= 1;
    return write_step(std::move(state), holder, {std::nullopt, budget, true});
}

bool can_retire(share_state const& state)
{
    return state.closing && state.share_version > 0 && !state.floor &&
           state.reserved == 0 && state.unsettled == 0;
}

duration read_pause(share_state const& state)
{
    // A stopping router has little time to return its share.
    if (!state.waiting.empty() || state.closing)
    {
        return state.sizes.waiting_look;
    }
    auto const& sizes = state.sizes;
    auto const holders = state.seen->row.holders;
    return near_end(state.seen->row, sizes)
               ? std::max(sizes.near_end_look,
                          sizes.near_end_look_per_holder * holders)
               : std::max(sizes.look_interval, sizes.look_per_holder * holders);
}

/// True if the rows are worth reading: tokens are idle here and other routers
/// may want them, a reservation waits, a response was lost, or the share is
/// closing.
bool rows_matter(share_state const& state)
{
    return free_tokens(state) > 0 || !state.waiting.empty() || state.floor ||
           state.read_first || (state.closing && state.share_version > 0);
}

bool is_fresh(share_state const& state, instant now)
{
    return state.seen && now - state.seen->at <= state.sizes.max_row_age;
}

/// True if a draw would be tried with a fresh row.
bool would_draw(share_state const& state, holder_view const& holder)
{
    auto const may_have_tokens = !state.seen || ungranted(state.seen->row) > 0;
    return may_have_tokens && !state.closing &&
           (!state.waiting.empty() || is_low(state, holder));
}

bool read_is_due(share_state const& state, holder_view const& holder,
                 instant now)
{
    if (!state.seen || state.read_first)
    {
        return rows_matter(state) || would_draw(state, holder);
    }
    if (is_fresh(state, now))
    {
        return false;
    }
    if (would_draw(state, holder) &&
        (!state.waiting.empty() || refill(state, now) > 0))
    {
        return true;
    }
    return rows_matter(state) && now - state.seen->at >= read_pause(state);
}

/// The most useful write, if any. @pre the budget row is fresh.
table_step choose_write(share_state state, holder_view const& holder,
                        instant now)
{
    auto const back = surplus(state, now);
    if (state.closing)
    {
        if (can_retire(state))
        {
            return retire_step(std::move(state), holder);
        }
        // Also resolves a floor: a write that is applied, or rejected because
        // of the share row, proves that the lost one can no longer take effect.
        return back > 0 || state.floor
                   ? move_step(std::move(state), holder, -back, 0)
                   : no_step(std::move(state));
    }
    auto const lacking = demand_of(state);
    if (lacking.need > 0)
    {
        auto const amount =
            draw_size(state.seen->row, lacking.need, free_tokens(state),
                      tokens_ahead(state), most_ahead(state));
        return move_step(std::move(state), holder, amount, lacking.unmet);
    }
    if (back > 0)
    {
        state.moved_at = now;
        return move_step(std::move(state), holder, -back, lacking.unmet);
    }
    if (!state.has_peers && lacking.unmet > state.seen->row.wanted)
    {
        return publish_wanted_step(std::move(state), holder, lacking.unmet);
    }
    auto const is_mine =
        state.own_wanted > 0 && state.seen->row.wanted == state.own_wanted;
    if (is_mine && lacking.unmet == 0)
    {
        return publish_wanted_step(std::move(state), holder, 0);
    }
    if (state.floor || exposure_is_low(state))
    {
        return rewrite_share_step(std::move(state), holder);
    }
    auto const more = is_low(state, holder) ? refill(state, now) : 0;
    if (more == 0)
    {
        return no_step(std::move(state));
    }
    state.moved_at = now;
    return move_step(std::move(state), holder, more, 0);
}

} // namespace

table_step next_step(share_state state, holder_view const& holder, instant now)
{
    auto const must_write = (state.closing && state.share_version > 0) ||
                            state.floor || state.read_first;
    auto const blocked = state.busy || state.fenced || holder.version == 0 ||
                         now < state.retry_at ||
                         (!state.may_draw_from_store && !must_write);
    if (blocked)
    {
        return no_step(std::move(state));
    }
    state.rate = metered(state.rate, 0, now);
    if (read_is_due(state, holder, now))
    {
        return read_step(std::move(state));
    }
    if (is_fresh(state, now) && !state.read_first)
    {
        return choose_write(std::move(state), holder, now);
    }
    return no_step(std::move(state));
}

instant next_due(share_state const& state, instant now)
{
    auto due = now + state.sizes.look_interval;
    if (state.seen)
    {
        due = std::min(due, state.seen->at + read_pause(state));
    }
    for (auto const& one : state.waiting)
    {
        due = std::min(due, one.until);
    }
    return std::max(due, std::max(now, state.retry_at));
}

} // namespace caperpath::budget
