#include "story.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace caperpath;
using namespace caperpath::budget;
using config::budget_policy;

namespace
{

/// A port on which the call number `at` first lets somebody else recover the
/// same holder from start to end.
store::port interrupted_port(world& all, death_proof const& proof, int at)
{
    auto port = all.direct;
    auto const calls = std::make_shared<int>(0);
    port.commit = [&all, proof, at, calls](store::transaction const& txn)
    {
        if (++*calls == at)
        {
            (void)recover(all.direct, proof);
        }
        return all.table->commit(txn);
    };
    return port;
}

/// The dead router is recovered by two at once, by a port that may lose
/// answers; a new process takes its place.
void recover_dead(world& all, int amount, mishap fault)
{
    for (auto& router : all.routers)
    {
        if (!router.dead || router.recovered)
        {
            continue;
        }
        death_proof const proof{router.holder.incarnation,
                                proof_kind::absent_after_listed};
        auto port = interrupted_port(all, proof, amount % 5);
        if (fault != mishap::none)
        {
            port.commit = [&all, fault](store::transaction const& txn)
            {
                return all.commit(txn, fault);
            };
        }
        auto const done = value_or_error([&] { return recover(port, proof); });
        router.recovered = done.index() == 0;
    }
}

/// The router has a draw and a batch on their way when it dies.
void last_words(world& all, simulated_router& router)
{
    all.finish_at(router, 100);
    all.pump(router, mishap::none);
    all.now = all.now + all.settle.deferred_interval;
    all.pump(router, mishap::delayed);
}

void act(world& all, action const& one, int number)
{
    auto const& budget = budgets[static_cast<std::size_t>(one.budget)];
    std::vector<simulated_router*> alive;
    for (auto& router : all.routers)
    {
        if (!router.dead)
        {
            alive.push_back(&router);
        }
    }
    auto& router = *alive[static_cast<std::size_t>(one.router) % alive.size()];
    auto const runs = !router.paused;
    switch (one.what)
    {
    case deed::reserve:
        if (runs)
        {
            all.reserve_at(router, budget, policy_of(one.budget), one.amount,
                           {one.amount * 5});
        }
        return;
    case deed::finish:
        if (runs)
        {
            all.finish_at(router, one.amount % 101);
        }
        return;
    case deed::pump:
        if (runs)
        {
            all.pump(router, one.fault);
        }
        return;
    case deed::pass_time:
        all.now = all.now + duration{one.amount * 4};
        return;
    case deed::land:
        all.land_one();
        while (one.amount % 2 == 0 && !all.delayed.empty())
        {
            all.land_one();
        }
        return;
    case deed::crash:
        if (runs && one.amount % 2 == 0)
        {
            last_words(all, router);
        }
        all.crash(router);
        all.add_router();
        return;
    case deed::pause:
        router.paused = true;
        return;
    case deed::wake:
        router.paused = false;
        return;
    case deed::recover:
        recover_dead(all, one.amount, one.fault);
        return;
    case deed::top_up:
        auto port = all.direct;
        port.commit = [&all, &one](store::transaction const& txn)
        {
            return all.commit(txn, one.fault);
        };
        (void)top_up(port, budget, std::to_string(number), one.amount);
        return;
    }
}

void check_now(world const& all)
{
    RC_ASSERT(!all.accepted_twice);
    for (auto const& budget : budgets)
    {
        auto const found = audit_of(*all.table, budget);
        RC_ASSERT(upholds_formula(found));
        RC_ASSERT(all.used(budget) <= found.row.paid);
    }
}

/// Faults end; every router that runs stops in good order, the dead are
/// recovered, and what was delayed lands.
void settle_everything(world& all)
{
    constexpr int rounds = 200;
    for (auto& router : all.routers)
    {
        router.paused = false;
        for (auto& [budget, share] : router.shares)
        {
            share = close(std::move(share));
        }
    }
    for (int round = 0; round < rounds; ++round)
    {
        all.now = all.now + duration{100};
        all.land_one();
        for (auto& router : all.routers)
        {
            if (!router.dead)
            {
                all.finish_at(router, 100);
                all.pump(router, mishap::none);
                all.pump(router, mishap::none);
            }
        }
    }
    recover_dead(all, 0, mishap::none);
    check_now(all);
}

/// Whether the requests answered by a dead router without a bill are covered
/// by what its recovery holds back.
bool is_reported(world const& all, simulated_router const& router,
                 budget_id const& budget, audit const& found)
{
    token_count unbilled = 0;
    for (auto const& [id, fate] : all.fates)
    {
        auto const here = fate.router == router.holder.incarnation &&
                          fate.budget == budget && fate.answered;
        unbilled += here && !found.bills.contains(id) ? fate.cost : 0;
    }
    token_count held = 0;
    auto const key = held_key(budget, router.holder.incarnation);
    for (auto const& row : all.table->read({key}))
    {
        held = decode_held(row.value).value().tokens;
    }
    return unbilled <= held;
}

void pump_all(world& all, int rounds)
{
    for (int i = 0; i < rounds; ++i)
    {
        all.now = all.now + duration{50};
        for (auto& router : all.routers)
        {
            all.pump(router, mishap::none);
        }
    }
}

} // namespace

class share_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(share_test);
    CPPUNIT_TEST(no_story_overspends_or_bills_twice);
    CPPUNIT_TEST(a_late_return_is_not_spent_again);
    CPPUNIT_TEST(a_dead_routers_first_draw_is_refused);
    CPPUNIT_TEST(only_a_listed_and_missing_router_is_recovered);
    CPPUNIT_TEST(the_last_tokens_come_together);
    CPPUNIT_TEST_SUITE_END();

    // Routers crash, pause and wake, the table is down, calls and answers get
    // lost, arrive late or twice, two routers recover a dead one and the budget
    // is topped up, in any order. A customer would notice spending more than
    // was paid, a request billed twice, or tokens that never come back.
    void no_story_overspends_or_bills_twice()
    {
        auto const holds = rc::check(
            []
            {
                world all;
                for (int i = 0; i < router_count; ++i)
                {
                    all.add_router();
                }
                for (auto const& budget : budgets)
                {
                    RC_ASSERT(
                        top_up(all.direct, budget, "first", first_payment));
                }
                auto const story = *any_story();
                int number = 0;
                for (auto const& one : story)
                {
                    act(all, one, ++number);
                    check_now(all);
                }
                settle_everything(all);
                for (auto const& budget : budgets)
                {
                    auto const found = audit_of(*all.table, budget);
                    RC_ASSERT(found.shares == 0);
                    RC_ASSERT(found.row.granted == found.row.retired);
                    for (auto const& router : all.routers)
                    {
                        RC_ASSERT(is_reported(all, router, budget, found));
                    }
                }
            });
        CPPUNIT_ASSERT(holds);
    }

    /// One router that has looked at a budget of 1,000 tokens for a request of
    /// 400 and is about to draw.
    static simulated_router& a_router_that_draws(world& all)
    {
        all.add_router();
        CPPUNIT_ASSERT(top_up(all.direct, budgets[0], "first", 1'000));
        auto& router = all.routers.front();
        all.reserve_at(router, budgets[0], budget_policy::overspend_first, 400,
                       {1'000});
        all.pump(router, mishap::none);
        return router;
    }

    // A router gives idle tokens back; the call is held up on its way and the
    // router gives up waiting. It reads its row, finds nothing changed, and the
    // write lands afterwards. Had it taken the tokens for its own again, it and
    // another router would both spend them.
    void a_late_return_is_not_spent_again()
    {
        world all;
        auto& router = a_router_that_draws(all);
        all.pump(router, mishap::none);
        all.finish_at(router, 0);
        auto& share = router.shares.at(budgets[0]);
        auto const free = free_tokens(share);
        CPPUNIT_ASSERT(free >= 400);
        auto row = audit_of(*all.table, budgets[0]).row;
        row.wanted = 900;
        all.table->commit({{}, {{budget_key(budgets[0]), encode(row)}}});
        all.now = all.now + duration{1'000};
        all.pump(router, mishap::none);
        all.pump(router, mishap::delayed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, all.delayed.size());
        all.now = all.now + duration{1'000};
        all.pump(router, mishap::none);
        CPPUNIT_ASSERT_EQUAL(token_count{0}, free_tokens(share));
        all.land_one();
        all.now = all.now + duration{1'000};
        all.pump(router, mishap::none);
        all.pump(router, mishap::none);
        CPPUNIT_ASSERT(upholds_formula(audit_of(*all.table, budgets[0])));
        CPPUNIT_ASSERT_EQUAL(token_count{0}, free_tokens(share));
    }

    // A router dies while its first draw is held up on the way, and is
    // recovered before the draw lands. Tokens granted then would belong to
    // nobody and the customer would miss them for good.
    void a_dead_routers_first_draw_is_refused()
    {
        world all;
        auto& router = a_router_that_draws(all);
        all.pump(router, mishap::delayed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, all.delayed.size());
        all.crash(router);
        recover_dead(all, 0, mishap::none);
        all.land_one();
        CPPUNIT_ASSERT_EQUAL(token_count{0},
                             audit_of(*all.table, budgets[0]).row.granted);
    }

    // A new router is not in the platform's lagging list yet, and a running one
    // is missing from one answer of a list that lags. Taken for dead, they
    // would lose their shares while they spend them.
    void only_a_listed_and_missing_router_is_recovered()
    {
        constexpr duration lag{30'000};
        world all;
        all.add_router();
        all.add_router();
        auto const list_of = [](std::string const& name)
        {
            return std::vector<store::listed_vm>{
                {"vm", name, "10.0.0.9:1", "sala-sur", "live"}};
        };
        auto const is_active = [&all](std::string const& name)
        {
            auto const rows = all.table->read({holder_key({name})});
            return decode_holder(rows.at(0).value).value().state ==
                   holder_state::active;
        };
        death_watch watch;
        auto const look = [&all, &watch, lag](duration later)
        {
            all.now = all.now + later;
            watch = sweep(all.direct, watch, lag, all.now).value().watch;
        };
        all.table->set_vms(list_of("r1"));
        look(lag);
        look(lag * 10);
        CPPUNIT_ASSERT(is_active("r1") && is_active("r2"));
        all.table->set_vms({});
        look({1'000});
        all.table->set_vms(list_of("r1"));
        look(lag);
        all.table->set_vms({});
        look({1'000});
        CPPUNIT_ASSERT(is_active("r1"));
        look(lag);
        CPPUNIT_ASSERT(!is_active("r1") && is_active("r2"));
    }

    // The last tokens lie in pieces at nine routers, and a request needs more
    // than any of them holds. Without the pieces coming together its caller
    // would be told that a budget with enough tokens is used up.
    void the_last_tokens_come_together()
    {
        constexpr int routers = 9;
        world all;
        CPPUNIT_ASSERT(top_up(all.direct, budgets[0], "first", 900));
        for (int i = 0; i < routers; ++i)
        {
            all.add_router();
            auto& router = all.routers.back();
            all.reserve_at(router, budgets[0], budget_policy::overspend_first,
                           90, {1'000});
        }
        pump_all(all, 20);
        for (auto& router : all.routers)
        {
            all.finish_at(router, 0);
        }
        all.reserve_at(all.routers.front(), budgets[0],
                       budget_policy::overspend_first, 850, {3'000});
        pump_all(all, 60);
        auto const& share = all.routers.front().shares.at(budgets[0]);
        CPPUNIT_ASSERT_EQUAL(token_count{850}, share.reserved);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(share_test);
