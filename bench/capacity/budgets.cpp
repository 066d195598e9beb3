#include "capacity/parts.hpp"
#include "capacity/probe.hpp"

#include <caperpath/budget/settlement.hpp>
#include <caperpath/budget/share.hpp>

#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace caperpath::bench
{

namespace
{

using budget::bill;
using share_map = std::unordered_map<budget_id, budget::share_state>;

constexpr std::size_t sizes[] = {1'000, 10'000, 100'000, 850'000};
constexpr token_count paid = 1'000'000'000;
constexpr token_count granted = 10'000'000;
constexpr token_count worst_case = 1'000;
constexpr std::size_t rounds = 9;
constexpr std::size_t reservations = 2'000;
constexpr std::size_t passes = 1;
// Divides no size, so that consecutive accesses are not adjacent in memory.
constexpr std::size_t stride = 7'919;

std::string name_of(std::size_t index)
{
    return "budget-" + std::to_string(1'000'000 + index);
}

/// A budget that has drawn a share and is neither low nor due for a refresh.
budget::share_state idle_share(std::size_t index, instant now)
{
    auto const policy = config::budget_policy::overspend_first;
    auto share = budget::make_share({name_of(index)}, policy,
                                    budget::sizing_for(policy));
    share.seen = budget::seen_budget{{paid, granted, 0, 0, 1}, 1, now};
    share.share.granted = granted;
    share.share_version = 1;
    return share;
}

share_map make_shares(std::size_t count, instant now)
{
    share_map shares;
    for (std::size_t i = 0; i < count; ++i)
    {
        auto share = idle_share(i, now);
        auto key = share.budget;
        shares.emplace(std::move(key), std::move(share));
    }
    return shares;
}

void reserve_and_finish(share_map& shares, std::size_t call, instant now)
{
    auto const policy = config::budget_policy::overspend_first;
    budget_id const id{name_of(call * stride % shares.size())};
    request_id const request{"request-" + std::to_string(call)};
    auto& share = shares.at(id);
    auto reserved = budget::reserve(std::move(share),
                                    {request, id, policy, worst_case, {}}, now);
    bill cost{request, {"customer"}, id, worst_case / 2, 10, 10, 1};
    auto finished = budget::finish(std::move(reserved.state),
                                   {cost, policy, worst_case}, now);
    share = budget::settled(std::move(finished.state), worst_case / 2);
}

void pass_over_all(share_map& shares, budget::holder_view const& holder,
                   instant now)
{
    for (auto& [id, share] : shares)
    {
        auto answered = budget::decide_waiting(std::move(share), now);
        auto step = budget::next_step(std::move(answered.state), holder, now);
        share = std::move(step.state);
    }
}

} // namespace

void measure_budgets(report& out)
{
    instant const now{1'000'000};
    budget::holder_view const holder{{"vm-1-1"}, 1};
    series bytes{"budgets", "memory of budgets held", "budgets", "bytes", {}};
    series reserving{
        "budgets", "one reservation and its bill", "budgets", "us", {}};
    series pass{
        "budgets", "one pass of the controller over all", "budgets", "us", {}};
    for (auto const count : sizes)
    {
        auto const before = allocated_bytes();
        auto shares = make_shares(count, now);
        auto const size = static_cast<double>(count);
        bytes.points.push_back({size, allocated_bytes() - before});
        pass.points.push_back(
            {size, time_call(rounds, passes,
                             [&](std::size_t)
                             { pass_over_all(shares, holder, now); })});
        reserving.points.push_back(
            {size, time_call(rounds, reservations,
                             [&](std::size_t call)
                             { reserve_and_finish(shares, call, now); })});
    }
    out.lines.push_back(std::move(bytes));
    out.lines.push_back(std::move(reserving));
    out.lines.push_back(std::move(pass));
}

} // namespace caperpath::bench
