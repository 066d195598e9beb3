#ifndef CAPERPATH_BUDGET_SIZING_HPP
#define CAPERPATH_BUDGET_SIZING_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/budget/rows.hpp>
#include <caperpath/config/document.hpp>

#include <cstdint>

namespace caperpath::budget
{

/// Tokens per second that one router consumes of one budget, smoothed over
/// about ten seconds. Reservations add to it and their unused part is
/// subtracted, so that it follows consumption and not the worst case. Immutable
/// value.
struct rate_meter
{
    instant since{};
    token_count gathered{}; ///< since `since`
    double per_second{};
    int samples{};

    friend bool operator==(rate_meter const&, rate_meter const&) = default;
};

/// The meter after `tokens` were taken (or, if negative, returned) at `now`.
/// Thread safe.
rate_meter metered(rate_meter meter, token_count tokens, instant now);

/// The sizes of shares and how often rows are read. Immutable value.
struct sizing
{
    duration horizon{};  ///< a draw covers this much of the router's traffic
    duration exposure{}; ///< responses may end before their bills are in the
                         ///< ledger, up to the traffic of this time; a
                         ///< recovery withholds that many tokens
    /// A holder draws when it has less than a fraction of its horizon's need
    /// free. The fraction is random between these two, so that holders that
    /// started together do not all refill at once.
    double lowest_level{0.25};
    double highest_level{0.5};
    std::int64_t requests_in_draw{2}; ///< not used
    /// A share covers at least the larger of `least_ahead` tokens and
    /// `requests_ahead` times the latest request. A refill draws at least
    /// `requests_ahead` times the latest request.
    std::int64_t requests_ahead{2};
    token_count least_ahead{};
    /// If set, the tokens held in addition to the need of the traffic are at
    /// most the remainder / (spare_divisor * holders).
    std::int64_t spare_divisor{0};
    std::int64_t fair_part_divisor{
        2}; ///< no draw ahead takes more than the
            ///< remainder / (fair_part_divisor * holders)
    /// If a customer's traffic goes to few routers, an even part of the
    /// remainder is too small for them. If set, a holder keeps up to this many
    /// times the part of the remainder that matches its part of all traffic.
    double part_by_traffic{0};
    /// If set, a holder with more than this many times what it needs ahead
    /// returns the rest, even far from the end of the budget: its traffic has
    /// moved to other routers.
    double idle_factor{0};
    /// While another holder wants more than is ungranted, each holder returns
    /// free tokens but keeps a part, since all of them would only be drawn
    /// again: half at this number of holders, a tenth at nine times as many.
    /// 0: each returns all.
    std::int64_t half_kept_at{0};
    /// The smallest such return that is worth its write is the wanted tokens
    /// / (min_return_divisor * holders). 0: every return is.
    std::int64_t min_return_divisor{0};
    /// After a wait without success, requests for at least as much are rejected
    /// at once for this long, times the number of holders.
    duration reject_at_once_for{0};
    /// With an allocation, a holder draws below the first and returns above the
    /// second of these multiples of its target. The pause between two such
    /// moves grows with the number of holders.
    double draw_below_target{0.7};
    double return_above_target{1.4};
    duration allocation_pause{400};
    duration allocation_pause_per_holder{15};
    std::int64_t near_end_divisor{
        50};                       ///< near the end: ungranted < paid / this
    duration max_row_age{50};      ///< a row read this long ago may be used
    duration look_interval{1'000}; ///< pause between reads with idle tokens
    duration near_end_look{200};   ///< the same near the end of the budget
    duration waiting_look{50};     ///< the same while a reservation waits
    /// While no reservation waits, the pauses between reads grow with the
    /// number of holders, so that the total rate of reads of a row does not.
    duration look_per_holder{0};
    duration near_end_look_per_holder{0};
    duration store_down_after{2'000}; ///< no admission under overspend_first
                                      ///< after this long without the store

    friend bool operator==(sizing const&, sizing const&) = default;
};

/// The defaults of a policy. `overspend_first` draws for a shorter time, so
/// that a dead or disconnected holder strands fewer tokens.
/// `false_refusals_first` draws for a longer time, so that fewer requests are
/// rejected during an outage of the store. Thread safe.
sizing sizing_for(config::budget_policy policy);

/// Paid tokens that are not granted: not in a share, spent or held. Thread
/// safe.
token_count ungranted(budget_row const& row);

/// True if so few tokens are left that they must not be scattered over idle
/// holders. Thread safe.
bool near_end(budget_row const& row, sizing const& sizes);

/// The maximum that a holder may draw ahead of need if all holders count the
/// same. `newcomer` adds a holder that has no share row yet. Thread safe.
token_count fair_part(budget_row const& row, sizing const& sizes,
                      bool newcomer);

/// The tokens to draw if waiting reservations lack `need` tokens, `free` are
/// idle, the traffic of the horizon is `ahead` and at most `max_ahead` may be
/// held ahead of need. Never more than is ungranted: 0 if that does not cover
/// `need`. Thread safe. @pre `need` >= 0.
token_count draw_size(budget_row const& row, token_count need, token_count free,
                      token_count ahead, token_count max_ahead);

/// The pause after `conflicts` consecutive conflicts with other writers of a
/// row: 0 after the first if a reservation waits. Its upper bound doubles with
/// each conflict, with jitter from `salt`, so that hundreds of routers do not
/// keep conflicting. Thread safe.
duration conflict_pause(int conflicts, bool reservation_waits,
                        std::size_t salt);

/// A pseudo-random fraction in [0, 1) computed from `salt`. Thread safe.
double jitter_fraction(std::size_t salt);

/// The pause after `failures` consecutive failures. It doubles with each, with
/// jitter from `salt`, so that routers do not all return to a recovering store
/// at once. Thread safe.
duration backoff(int failures, std::size_t salt);

} // namespace caperpath::budget

#endif
