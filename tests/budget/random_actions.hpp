#ifndef CAPERPATH_TESTS_BUDGET_RANDOM_ACTIONS_HPP
#define CAPERPATH_TESTS_BUDGET_RANDOM_ACTIONS_HPP

#include "fleet_simulation.hpp"

#include <rapidcheck.h>

#include <ostream>
#include <vector>

/// Random sequences of all that happens to routers and budgets.
namespace caperpath::budget
{

enum class action_kind
{
    reserve,
    finish,
    advance,
    pass_time,
    deliver_delayed,
    crash,
    pause,
    resume,
    recover,
    top_up
};

struct action
{
    action_kind kind{};
    int router{};
    int budget{};
    int amount{};
    call_fault fault{};
};

inline std::ostream& operator<<(std::ostream& out, action const& one)
{
    return out << '{' << static_cast<int>(one.kind) << ' ' << one.router << ' '
               << one.budget << ' ' << one.amount << ' '
               << static_cast<int>(one.fault) << '}';
}

constexpr int router_count = 3;
constexpr std::size_t action_count = 160;
constexpr token_count first_payment = 1'000;
constexpr token_count max_tokens = 300;

inline std::vector<budget_id> const budgets{{"talleres"}, {"familias"}};

inline config::budget_policy policy_of(int budget)
{
    return budget == 0 ? config::budget_policy::overspend_first
                       : config::budget_policy::false_refusals_first;
}

inline rc::Gen<call_fault> any_call_fault()
{
    using rc::gen::just;
    return rc::gen::weightedOneOf<call_fault>(
        {{12, just(call_fault::none)},
         {1, just(call_fault::outage)},
         {1, just(call_fault::lost_call)},
         {2, just(call_fault::lost_response)},
         {2, just(call_fault::delayed)},
         {1, just(call_fault::duplicated)}});
}

inline rc::Gen<action_kind> any_action_kind()
{
    using rc::gen::just;
    return rc::gen::weightedOneOf<action_kind>(
        {{12, just(action_kind::reserve)},
         {10, just(action_kind::finish)},
         {24, just(action_kind::advance)},
         {6, just(action_kind::pass_time)},
         {3, just(action_kind::deliver_delayed)},
         {1, just(action_kind::crash)},
         {1, just(action_kind::pause)},
         {2, just(action_kind::resume)},
         {2, just(action_kind::recover)},
         {1, just(action_kind::top_up)}});
}

inline rc::Gen<std::vector<action>> any_scenario()
{
    using rc::gen::inRange;
    auto const one = rc::gen::build<action>(
        rc::gen::set(&action::kind, any_action_kind()),
        rc::gen::set(&action::router, inRange(0, router_count)),
        rc::gen::set(&action::budget, inRange(0, 2)),
        rc::gen::set(&action::amount, inRange(1, static_cast<int>(max_tokens))),
        rc::gen::set(&action::fault, any_call_fault()));
    // Use the full ranges from the first scenario on.
    return rc::gen::resize(
        rc::kNominalSize,
        rc::gen::container<std::vector<action>>(action_count, one));
}

} // namespace caperpath::budget

#endif
