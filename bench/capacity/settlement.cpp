#include "capacity/parts.hpp"
#include "capacity/probe.hpp"

#include <caperpath/budget/rows.hpp>
#include <caperpath/budget/settlement.hpp>
#include <caperpath/store/wire.hpp>

#include <string>
#include <utility>

namespace caperpath::bench
{

namespace
{

constexpr std::size_t bill_counts[] = {1, 10, 50, 100};
constexpr std::size_t budget_counts[] = {10, 100, 1'000, 10'000};
constexpr std::size_t rounds = 15;
constexpr std::size_t calls = 20;
constexpr instant now{1'000'000};

/// Names as long as the fleet's: a 36-byte request id, and the rest in use at
/// the larger site.
budget::bill make_bill(std::size_t index)
{
    auto const number = std::to_string(1'000'000 + index);
    return {{"7f3c9a52-0b1d-4e6f-9a77-c0ffe" + number},
            {"agency-hangang"},
            {"agency-hangang-" + number},
            1'234,
            512,
            236,
            4'711};
}

budget::settlement_state with_spent(std::size_t budgets)
{
    budget::settlement_state state;
    for (std::size_t i = 0; i < budgets; ++i)
    {
        state.spent.spent[make_bill(i).budget] = 1'000'000;
    }
    state.spent.seq = 1;
    state.spent_version = 1;
    return state;
}

/// Queues the bills, builds the write and takes its confirmation.
std::string settle(budget::settlement_state state, std::size_t bills)
{
    budget::settle_options const options;
    budget::holder_view const holder{{"vm-1-123456789"}, 1};
    auto const policy = config::budget_policy::overspend_first;
    for (std::size_t i = 0; i < bills; ++i)
    {
        state = budget::queue_bill(std::move(state), make_bill(i), policy,
                                   options, now);
    }
    auto step =
        budget::next_batch(std::move(state), holder, options, now, true);
    auto body = store::wire::encode(*step.txn).value();
    store::commit_result const applied{store::commit_outcome::applied, {}, {}};
    budget::batch_written(std::move(step.state), holder, applied, now);
    return body;
}

double time_settling(std::size_t budgets, std::size_t bills)
{
    auto const state = with_spent(budgets);
    return time_call(rounds, calls, [&](std::size_t) { settle(state, bills); });
}

std::string row_of(std::size_t bills)
{
    std::vector<budget::bill> all;
    for (std::size_t i = 0; i < bills; ++i)
    {
        all.push_back(make_bill(i));
    }
    return budget::encode(all);
}

double as_double(std::size_t value)
{
    return static_cast<double>(value);
}

} // namespace

void measure_settlement(report& out)
{
    series ledger{"settlement", "ledger row", "bills", "bytes", {}};
    series write{"settlement", "whole write, one budget", "bills", "bytes", {}};
    series work{"settlement", "processor time a write", "bills", "us", {}};
    for (auto const count : bill_counts)
    {
        auto const size = as_double(count);
        ledger.points.push_back({size, as_double(row_of(count).size())});
        write.points.push_back(
            {size, as_double(settle(with_spent(1), count).size())});
        work.points.push_back({size, time_settling(1, count)});
    }
    series spent{"settlement", "spent row", "budgets spent", "bytes", {}};
    series repeat{"settlement",
                  "processor time a write of 50",
                  "budgets spent",
                  "us",
                  {}};
    constexpr std::size_t usual_batch = 50;
    for (auto const count : budget_counts)
    {
        auto const row = budget::encode(with_spent(count).spent);
        spent.points.push_back({as_double(count), as_double(row.size())});
        repeat.points.push_back(
            {as_double(count), time_settling(count, usual_batch)});
    }
    for (auto* one : {&ledger, &write, &work, &spent, &repeat})
    {
        out.lines.push_back(std::move(*one));
    }
}

} // namespace caperpath::bench
