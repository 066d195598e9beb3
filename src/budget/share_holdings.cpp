#include "share_rules.hpp"

#include <algorithm>

/// How much a holder keeps, takes and gives back.
namespace caperpath::budget
{

namespace
{

constexpr std::int64_t ms_per_second = 1'000;
constexpr int surplus_factor =
    4; ///< more than this many fair parts idle: return the excess

constexpr token_count return_spare_divisor = 2;

/// What a holder keeps in addition to the need of its traffic.
token_count spare_tokens(share_state const& state)
{
    auto const& sizes = state.sizes;
    auto const spare =
        std::max(sizes.requests_ahead * state.last_amount, sizes.least_ahead);
    if (sizes.spare_divisor == 0 || !state.seen)
    {
        return spare;
    }
    auto const holders = std::max<std::int64_t>(1, state.seen->row.holders);
    return std::min(spare, ungranted(state.seen->row) /
                               (sizes.spare_divisor * holders));
}

bool wanted_by_another(share_state const& state)
{
    auto const wanted = state.seen->row.wanted;
    return wanted > 0 && wanted != state.own_wanted;
}

/// Tokens to return for another holder that wants some.
token_count wanted_return(share_state const& state, token_count free)
{
    auto const& sizes = state.sizes;
    auto const& row = state.seen->row;
    auto const holders = std::max<std::int64_t>(1, row.holders);
    auto const kept =
        free * sizes.half_kept_at / (holders + sizes.half_kept_at);
    auto const back = free - kept;
    auto const least = sizes.min_return_divisor > 0
                           ? row.wanted / (sizes.min_return_divisor * holders)
                           : 0;
    return back >= least ? back : 0;
}

/// Tokens for waiting reservations that fit and that only the spend limit holds
/// back. If returned, they would be drawn again at once, and two routers would
/// keep exchanging the same tokens.
token_count covered_tokens(share_state const& state)
{
    auto const free = free_tokens(state);
    token_count covered = 0;
    for (auto const& one : state.waiting)
    {
        covered += covered + one.amount <= free ? one.amount : 0;
    }
    return covered;
}

/// Tokens to return for another holder if there is an allocation: one holder
/// returns what is wanted, and some more for the next request.
token_count allocated_return(share_state const& state, token_count free)
{
    auto const wanted = state.seen->row.wanted - ungranted(state.seen->row);
    auto const with_spare = wanted + wanted / return_spare_divisor;
    return state.must_return ? std::clamp<token_count>(with_spare, 0, free) : 0;
}

/// The smallest draw that is worth its write: what is missing when the free
/// tokens have fallen to `highest_level`, the highest level that triggers a
/// draw.
token_count least_refill(share_state const& state, token_count free)
{
    auto const missing =
        (1 - state.sizes.highest_level) / state.sizes.highest_level;
    return static_cast<token_count>(static_cast<double>(free) * missing);
}

} // namespace

/// Without a pause the rows of active budgets would change endlessly, since
/// each move alters the figures that all other routers compute with.
bool may_reallocate(share_state const& state, instant now)
{
    auto const holders = state.seen ? state.seen->row.holders : 0;
    auto const pause = state.sizes.allocation_pause +
                       state.sizes.allocation_pause_per_holder * holders;
    return now - state.moved_at >= pause;
}

bool is_newcomer(share_state const& state)
{
    return state.share_version == 0;
}

token_count tokens_ahead(share_state const& state)
{
    if (state.current_allocation)
    {
        return state.current_allocation->target;
    }
    auto const traffic = state.rate.per_second *
                         static_cast<double>(state.sizes.horizon.ms) /
                         ms_per_second;
    return std::max(static_cast<token_count>(traffic), spare_tokens(state));
}

token_count most_ahead(share_state const& state)
{
    if (state.current_allocation)
    {
        return state.current_allocation->target;
    }
    auto const& row = state.seen->row;
    auto const& sizes = state.sizes;
    if (sizes.part_by_traffic == 0)
    {
        return fair_part(row, sizes, is_newcomer(state));
    }
    auto const own = std::max(0.0, state.rate.per_second);
    auto const others = std::max(0.0, state.others.per_second);
    auto const part = own > 0 ? own / (own + others) : 0;
    auto const by_traffic = static_cast<token_count>(
        static_cast<double>(ungranted(row)) * part * sizes.part_by_traffic);
    return std::max(by_traffic, spare_tokens(state));
}

token_count surplus(share_state const& state, instant now)
{
    // Only drawn tokens are returned to the budget row, not received ones.
    auto const free = std::min(free_tokens(state), state.share.granted);
    if (state.closing)
    {
        return free;
    }
    if (wanted_by_another(state))
    {
        auto const spare = free - covered_tokens(state);
        return state.current_allocation ? allocated_return(state, spare)
                                        : wanted_return(state, spare);
    }
    if (state.current_allocation)
    {
        auto const target =
            static_cast<double>(state.current_allocation->target);
        auto const gives = state.current_allocation->others_shortage > 0 &&
                           state.must_return && may_reallocate(state, now) &&
                           state.waiting.empty() &&
                           static_cast<double>(free) >
                               state.sizes.return_above_target * target;
        return gives ? free - state.current_allocation->target : 0;
    }
    auto const ahead = static_cast<double>(tokens_ahead(state));
    auto const idle_factor = state.sizes.idle_factor;
    if (idle_factor > 0 && state.waiting.empty() &&
        static_cast<double>(free) > idle_factor * ahead)
    {
        return free - static_cast<token_count>(ahead);
    }
    auto const& row = state.seen->row;
    auto const fair = fair_part(row, state.sizes, is_newcomer(state));
    auto const idle = state.waiting.empty() && near_end(row, state.sizes);
    return idle && free > surplus_factor * fair ? free - fair : 0;
}

token_count refill(share_state const& state, instant now)
{
    auto const free = free_tokens(state);
    if (state.current_allocation && !may_reallocate(state, now))
    {
        return 0;
    }
    auto const amount = draw_size(state.seen->row, 0, free, tokens_ahead(state),
                                  most_ahead(state));
    // Near the end each draw ahead gets smaller. Draws below the need of the
    // requests ahead only scatter the remaining tokens.
    auto const least = std::max({token_count{1},
                                 state.sizes.requests_ahead * state.last_amount,
                                 least_refill(state, free)});
    return amount >= least ? amount : 0;
}

} // namespace caperpath::budget
