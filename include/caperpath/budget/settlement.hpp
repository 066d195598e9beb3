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

/// When bills are written. Immutable value.
struct settle_options
{
    duration durable_interval{100};    ///< somebody waits: overspend_first
    duration deferred_interval{3'000}; ///< nobody waits: false_refusals_first
    std::size_t batch{100};            ///< bills in one write, at most

    friend bool operator==(settle_options const&,
                           settle_options const&) = default;
};

struct queued_bill
{
    bill cost;
    instant due{}; ///< when it should be written

    friend bool operator==(queued_bill const&, queued_bill const&) = default;
};

/// The bills of all budgets at one router that are not in the ledger. Batches
/// go out one at a time; a batch whose answer was lost is sent again unchanged
/// under the same number until it is known what became of it. Value type.
struct settlement_state
{
    spent_row spent;               ///< as last confirmed
    std::uint64_t spent_version{}; ///< 0: no row yet
    std::deque<queued_bill> pending;
    std::vector<bill> batch; ///< sent, result not known
    bool busy{false};
    bool fenced{false};
    int failures{};
    instant retry_at{};

    friend bool operator==(settlement_state const&,
                           settlement_state const&) = default;
};

/// Adds a bill; its policy says how soon it is due. Thread safe.
settlement_state queue_bill(settlement_state state, bill cost,
                            config::budget_policy policy,
                            settle_options const& options, instant now);

struct settle_step
{
    settlement_state state;
    std::optional<store::transaction> txn;
};

/// Builds the next batch when one is due, or the same one again. With `all`
/// nothing waits for its time. Thread safe.
settle_step next_batch(settlement_state state, holder_view const& holder,
                       settle_options const& options, instant now,
                       bool all = false);

struct settled_step
{
    settlement_state state;
    std::vector<bill> durable; ///< in the ledger now, not reported before
};

/// The result of the write that `next_batch` built. Thread safe.
settled_step batch_written(settlement_state state, holder_view const& holder,
                           store::commit_result const& outcome, instant now);

/// When `next_batch` may have something to do. Thread safe.
instant next_due(settlement_state const& state, instant now);

} // namespace caperpath::budget

#endif
