#include "gateway/budgets/share_sizes.hpp"

namespace caperpath::gateway
{

namespace
{

/// A router without the store serves from its shares; if it dies, the part of
/// them below the spend limit is lost. At the lowest refill level a share still
/// covers a usual outage.
constexpr duration share_horizon{10'000};
constexpr double lowest_level = 0.75;
constexpr double highest_level = 0.9;
constexpr duration row_fresh{150};
constexpr duration idle_read_interval{2'500};
constexpr duration near_end_read_interval{400};
/// Callers keep their connections, so one router may have most of a customer's
/// traffic, and its share has to last through an outage. All holders
/// together draw up to this many times the ungranted tokens: at 2, two thirds
/// of the remaining budget are held in shares, and one third stays for routers
/// that run out first.
constexpr double held_per_ungranted = 2;
/// A router whose callers have moved on needs few tokens, and those below its
/// spend limit are lost when it is killed.
constexpr double idle_factor = 1.6;
constexpr std::int64_t half_kept_at = 9;
/// Without a minimum, routers would return tokens one by one at the end of a
/// budget, too few for any request.
constexpr std::int64_t min_return_divisor = 2;
/// Per router: the time in which the other routers read the row.
constexpr duration reject_at_once{12};
/// Without this divisor, the spare tokens of many routers would exceed the paid
/// amount, and would circulate between them in draws.
constexpr std::int64_t spare_divisor = 4;
constexpr duration read_interval_per_holder{150};
constexpr duration near_end_read_interval_per_holder{50};
constexpr duration waiting_read_interval{100};

} // namespace

budget::sizing share_sizes()
{
    budget::sizing all;
    all.horizon = share_horizon;
    all.exposure = duration{0};
    all.requests_ahead = 1;
    all.requests_in_draw = 0;
    all.part_by_traffic = held_per_ungranted;
    all.idle_factor = idle_factor;
    all.half_kept_at = half_kept_at;
    all.min_return_divisor = min_return_divisor;
    all.reject_at_once_for = reject_at_once;
    all.spare_divisor = spare_divisor;
    all.look_per_holder = read_interval_per_holder;
    all.near_end_look_per_holder = near_end_read_interval_per_holder;
    all.waiting_look = waiting_read_interval;
    all.lowest_level = lowest_level;
    all.highest_level = highest_level;
    all.max_row_age = row_fresh;
    all.look_interval = idle_read_interval;
    all.near_end_look = near_end_read_interval;
    return all;
}

} // namespace caperpath::gateway
