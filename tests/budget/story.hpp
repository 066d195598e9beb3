#ifndef CAPERPATH_TESTS_BUDGET_STORY_HPP
#define CAPERPATH_TESTS_BUDGET_STORY_HPP

#include "world.hpp"

#include <rapidcheck.h>

#include <ostream>
#include <vector>

/// Random orders of everything that happens to routers and budgets.
namespace caperpath::budget
{

enum class deed
{
    reserve,
    finish,
    pump,
    pass_time,
    land,
    crash,
    pause,
    wake,
    recover,
    top_up
};

struct action
{
    deed what{};
    int router{};
    int budget{};
    int amount{};
    mishap fault{};
};

inline std::ostream& operator<<(std::ostream& out, action const& one)
{
    return out << '{' << static_cast<int>(one.what) << ' ' << one.router << ' '
               << one.budget << ' ' << one.amount << ' '
               << static_cast<int>(one.fault) << '}';
}

constexpr int router_count = 3;
constexpr std::size_t action_count = 160;
constexpr token_count first_payment = 1'000;
constexpr token_count most_tokens = 300;

inline std::vector<budget_id> const budgets{{"talleres"}, {"familias"}};

inline config::budget_policy policy_of(int budget)
{
    return budget == 0 ? config::budget_policy::overspend_first
                       : config::budget_policy::false_refusals_first;
}

inline rc::Gen<mishap> any_mishap()
{
    using rc::gen::just;
    return rc::gen::weightedOneOf<mishap>({{12, just(mishap::none)},
                                           {1, just(mishap::outage)},
                                           {1, just(mishap::lost_call)},
                                           {2, just(mishap::lost_answer)},
                                           {2, just(mishap::delayed)},
                                           {1, just(mishap::duplicated)}});
}

inline rc::Gen<deed> any_deed()
{
    using rc::gen::just;
    return rc::gen::weightedOneOf<deed>({{12, just(deed::reserve)},
                                         {10, just(deed::finish)},
                                         {24, just(deed::pump)},
                                         {6, just(deed::pass_time)},
                                         {3, just(deed::land)},
                                         {1, just(deed::crash)},
                                         {1, just(deed::pause)},
                                         {2, just(deed::wake)},
                                         {2, just(deed::recover)},
                                         {1, just(deed::top_up)}});
}

inline rc::Gen<std::vector<action>> any_story()
{
    using rc::gen::inRange;
    auto const one = rc::gen::build<action>(
        rc::gen::set(&action::what, any_deed()),
        rc::gen::set(&action::router, inRange(0, router_count)),
        rc::gen::set(&action::budget, inRange(0, 2)),
        rc::gen::set(&action::amount,
                     inRange(1, static_cast<int>(most_tokens))),
        rc::gen::set(&action::fault, any_mishap()));
    // Full ranges from the first story on.
    return rc::gen::resize(
        rc::kNominalSize,
        rc::gen::container<std::vector<action>>(action_count, one));
}

} // namespace caperpath::budget

#endif
