#include "share_rules.hpp"

#include <algorithm>

/// How much a holder keeps, takes and gives back.
namespace caperpath::budget
{

namespace
{

constexpr std::int64_t ms_per_second = 1'000;
constexpr int surplus_factor =
    4; ///< idle beyond this many fair parts goes back

/// What a holder keeps beyond the need of its traffic.
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
    return wanted > 0 && wanted != state.wanting;
}

/// What goes back for another holder that wants tokens.
token_count wanted_return(share_state const& state, token_count free)
{
    auto const& sizes = state.sizes;
    auto const& row = state.seen->row;
    auto const holders = std::max<std::int64_t>(1, row.holders);
    auto const kept =
        free * sizes.half_kept_at / (holders + sizes.half_kept_at);
    auto const back = free - kept;
    auto const least = sizes.least_return_part > 0
                           ? row.wanted / (sizes.least_return_part * holders)
                           : 0;
    return back >= least ? back : 0;
}

/// A draw of less than this is not worth its write: what is missing when the
/// share has come down to its lowest level.
token_count least_refill(share_state const& state, token_count free)
{
    auto const missing =
        (1 - state.sizes.highest_level) / state.sizes.highest_level;
    return static_cast<token_count>(static_cast<double>(free) * missing);
}

} // namespace

bool is_newcomer(share_state const& state)
{
    return state.share_version == 0;
}

token_count tokens_ahead(share_state const& state)
{
    auto const traffic = state.rate.per_second *
                         static_cast<double>(state.sizes.horizon.ms) /
                         ms_per_second;
    return std::max(static_cast<token_count>(traffic), spare_tokens(state));
}

token_count most_ahead(share_state const& state)
{
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

token_count surplus(share_state const& state)
{
    auto const free = free_tokens(state);
    if (state.closing)
    {
        return free;
    }
    if (wanted_by_another(state))
    {
        return wanted_return(state, free);
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

token_count refill(share_state const& state)
{
    auto const free = free_tokens(state);
    auto const amount = draw_size(state.seen->row, 0, free, tokens_ahead(state),
                                  most_ahead(state));
    // Near the end each draw ahead gets smaller; below one request it only
    // scatters what is left.
    auto const least = std::max({token_count{1},
                                 state.sizes.requests_ahead * state.last_amount,
                                 least_refill(state, free)});
    return amount >= least ? amount : 0;
}

} // namespace caperpath::budget
