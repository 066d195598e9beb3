#ifndef CAPERPATH_BUDGET_SETTLEMENT_HPP
#define CAPERPATH_BUDGET_SETTLEMENT_HPP

#include <caperpath/budget/share.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace caperpath::budget
{

/// When bills are written to the ledger. Immutable value.
struct settle_options
{
    duration durable_interval{100};    ///< overspend_first: a caller waits
    duration deferred_interval{3'000}; ///< false_refusals_first: none waits
    std::size_t batch{100};            ///< maximum number of bills in one write

    friend bool operator==(settle_options const&,
                           settle_options const&) = default;
};

struct queued_bill
{
    bill cost;
    instant due{}; ///< when it should be written

    friend bool operator==(queued_bill const&, queued_bill const&) = default;
};

/// The bills of all budgets at one router that are not in the ledger yet.
/// Batches are written one at a time. A batch whose response was lost is
/// retried unchanged under the same number until its outcome is known. Value
/// type.
struct settlement_state
{
    spent_row spent;               ///< as last confirmed
    std::uint64_t spent_version{}; ///< 0: no row yet
    std::deque<queued_bill> pending;
    std::vector<bill> batch; ///< sent, outcome unknown
    bool busy{false};
    bool fenced{false};
    int failures{};
    instant retry_at{};

    friend bool operator==(settlement_state const&,
                           settlement_state const&) = default;
};

/// Adds a bill; the policy determines when it is due. Thread safe.
settlement_state queue_bill(settlement_state state, bill cost,
                            config::budget_policy policy,
                            settle_options const& options, instant now);

struct settle_step
{
    settlement_state state;
    std::optional<store::transaction> txn;
};

/// Builds the next batch if one is due, or the previous one for a retry. With
/// `all`, bills are written before they are due. Thread safe.
settle_step next_batch(settlement_state state, holder_view const& holder,
                       settle_options const& options, instant now,
                       bool all = false);

struct settled_step
{
    settlement_state state;
    std::vector<bill> durable; ///< newly known to be in the ledger
};

/// Applies the result of the write that `next_batch` built. Thread safe.
settled_step batch_written(settlement_state state, holder_view const& holder,
                           store::commit_result const& outcome, instant now);

/// When `next_batch` may return a batch. Thread safe.
instant next_due(settlement_state const& state, instant now);

} // namespace caperpath::budget

#endif
