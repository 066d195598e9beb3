#ifndef CAPERPATH_BUDGET_SIZING_HPP
#define CAPERPATH_BUDGET_SIZING_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/budget/rows.hpp>
#include <caperpath/config/document.hpp>

#include <cstdint>

namespace caperpath::budget
{

/// Tokens a second that one budget loses at one router, smoothed over some ten
/// seconds. A reservation counts up, what it did not use counts down, so that
/// the figure follows consumption and not the worst cases. Immutable value.
struct rate_meter
{
    instant since{};
    token_count gathered{}; ///< since `since`
    double per_second{};
    int samples{};

    friend bool operator==(rate_meter const&, rate_meter const&) = default;
};

/// The meter after `tokens` were taken (or, if negative, given back) at `now`.
/// Thread safe.
rate_meter metered(rate_meter meter, token_count tokens, instant now);

/// How large shares are and how often rows are looked at. Immutable value.
struct sizing
{
    duration horizon{};  ///< a draw covers this much of the router's traffic
    duration exposure{}; ///< bills of this much traffic may be unsettled while
                         ///< their answers end
    /// Each holder draws when it has less than a part of its horizon free; the
    /// part is drawn for each holder between these, so that holders that
    /// started together do not all refill at once.
    double lowest_level{0.25};
    double highest_level{0.5};
    /// A share covers at least this much, and this many of the latest request
    /// beyond the traffic of its horizon; a draw brings at least so many.
    std::int64_t requests_in_draw{2};
    std::int64_t requests_ahead{2};
    token_count least_ahead{};
    /// If set, what is held beyond the need of the traffic is at most the
    /// remainder divided by this and the number of holders.
    std::int64_t spare_divisor{0};
    std::int64_t end_divisor{2}; ///< no draw ahead takes more than the
                                 ///< remainder / (end_divisor * holders)
    /// Where the traffic of a customer goes to few routers, an even part of the
    /// remainder starves those: if set, a holder keeps up to this many times
    /// the part of the remainder that its traffic is of all traffic.
    double part_by_traffic{0};
    /// If set, a holder with more than this many times what it needs ahead
    /// gives the rest back, also far from the end: its traffic has moved
    /// elsewhere.
    double idle_factor{0};
    /// While another holder wants more than is ungranted, each gives back what
    /// it has free; of few holders each keeps some, since all of it would only
    /// be drawn again: half at this number of holders, a tenth at nine times as
    /// many. 0: all goes back.
    std::int64_t half_kept_at{0};
    /// Such a return is not worth its write if it is less than what is wanted,
    /// divided by this and the number of holders; 0: each is.
    std::int64_t least_return_part{0};
    /// After a wait without any result, requests for as much are refused at
    /// once for so long, times the number of holders.
    duration refuse_at_once{0};
    /// With a deal: a draw below this part of the target, a return above this
    /// many times it, and the pause between two of them, which grows with the
    /// number of holders.
    double deal_low{0.7};
    double deal_high{1.4};
    duration deal_pause{400};
    duration deal_pause_per_holder{15};
    std::int64_t near_end_part{50}; ///< near the end: ungranted < paid / this
    duration fresh{50};             ///< a row seen this long ago may be used
    duration look_interval{1'000};  ///< of a holder of idle tokens
    duration near_end_look{200};    ///< the same near the end of the budget
    duration waiting_look{50};      ///< while a reservation waits
    /// The pauses between looks without somebody waiting grow with the number
    /// of holders, so that all together look at a row no more often.
    duration look_per_holder{0};
    duration near_end_look_per_holder{0};
    duration store_down_after{2'000}; ///< no admission under overspend_first
                                      ///< after so long without the store

    friend bool operator==(sizing const&, sizing const&) = default;
};

/// The defaults of a policy. `overspend_first` draws for a shorter time, so
/// that a dead or cut off holder strands less; `false_refusals_first` draws for
/// a longer time, so that an outage of the store refuses less. Thread safe.
sizing sizing_for(config::budget_policy policy);

/// Tokens that the budget row has not given out. Thread safe.
token_count ungranted(budget_row const& row);

/// True when the last tokens must not be scattered over idle holders. Thread
/// safe.
bool near_end(budget_row const& row, sizing const& sizes);

/// The most that one of the holders may draw ahead of need when all holders
/// count the same. Thread safe. `newcomer` counts a holder that has no share
/// row yet.
token_count fair_part(budget_row const& row, sizing const& sizes,
                      bool newcomer);

/// What to draw when waiting reservations lack `need` tokens, `free` are idle,
/// the traffic of the horizon is `ahead` and at most `most` may be held ahead
/// of need. Never more than is ungranted; `need` comes before all else. Thread
/// safe. @pre `need` >= 0.
token_count draw_size(budget_row const& row, token_count need, token_count free,
                      token_count ahead, token_count most);

/// Pause after `conflicts` in a row with other writers of a row: none after the
/// first when somebody waits, then up to twice as long each time, spread by
/// `salt`, so that hundreds of routers do not keep refusing each other. Thread
/// safe.
duration conflict_pause(int conflicts, bool somebody_waits, std::size_t salt);

/// A part in [0, 1) that differs from salt to salt. Thread safe.
double spread_of(std::size_t salt);

/// Doubling pause after `failures` in a row, with a jitter that depends on
/// `salt`, so that routers do not return to a recovering store together.
/// Thread safe.
duration backoff(int failures, std::size_t salt);

} // namespace caperpath::budget

#endif
