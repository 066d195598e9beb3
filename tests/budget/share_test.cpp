#include "random_actions.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace caperpath;
using namespace caperpath::budget;
using config::budget_policy;

namespace
{

/// Returns a port whose call number `at` is preceded by a complete recovery of
/// the same holder by another router.
store::port interrupted_port(fleet_simulation& simulation,
                             death_proof const& proof, int at)
{
    auto port = simulation.direct;
    auto const calls = std::make_shared<int>(0);
    port.commit = [&simulation, proof, at, calls](store::transaction const& txn)
    {
        if (++*calls == at)
        {
            (void)recover(simulation.direct, proof);
        }
        return simulation.table->commit(txn);
    };
    return port;
}

/// Recovers each dead router, while another router recovers it too or `fault`
/// affects the calls.
void recover_dead(fleet_simulation& simulation, int amount, call_fault fault)
{
    for (auto& router : simulation.routers)
    {
        if (!router.dead || router.recovered)
        {
            continue;
        }
        death_proof const proof{router.holder.incarnation,
                                proof_kind::absent_after_listed};
        auto port = interrupted_port(simulation, proof, amount % 5);
        if (fault != call_fault::none)
        {
            port.commit = [&simulation, fault](store::transaction const& txn)
            {
                return simulation.commit(txn, fault);
            };
        }
        auto const done = value_or_error([&] { return recover(port, proof); });
        router.recovered = done.index() == 0;
    }
}

/// Leaves a draw and a batch of the router in flight, for a crash that follows.
void send_before_crash(fleet_simulation& simulation, simulated_router& router)
{
    simulation.finish_at(router, 100);
    simulation.advance(router, call_fault::none);
    simulation.now = simulation.now + simulation.settle.deferred_interval;
    simulation.advance(router, call_fault::delayed);
}

void execute(fleet_simulation& simulation, action const& one, int number)
{
    auto const& budget = budgets[static_cast<std::size_t>(one.budget)];
    std::vector<simulated_router*> alive;
    for (auto& router : simulation.routers)
    {
        if (!router.dead)
        {
            alive.push_back(&router);
        }
    }
    auto& router = *alive[static_cast<std::size_t>(one.router) % alive.size()];
    auto const runs = !router.paused;
    switch (one.kind)
    {
    case action_kind::reserve:
        if (runs)
        {
            simulation.reserve_at(router, budget, policy_of(one.budget),
                                  one.amount, {one.amount * 5});
        }
        return;
    case action_kind::finish:
        if (runs)
        {
            simulation.finish_at(router, one.amount % 101);
        }
        return;
    case action_kind::advance:
        if (runs)
        {
            simulation.advance(router, one.fault);
        }
        return;
    case action_kind::pass_time:
        simulation.now = simulation.now + duration{one.amount * 4};
        return;
    case action_kind::deliver_delayed:
        simulation.deliver_one_delayed();
        while (one.amount % 2 == 0 && !simulation.delayed.empty())
        {
            simulation.deliver_one_delayed();
        }
        return;
    case action_kind::crash:
        if (runs && one.amount % 2 == 0)
        {
            send_before_crash(simulation, router);
        }
        simulation.crash(router);
        simulation.add_router();
        return;
    case action_kind::pause:
        router.paused = true;
        return;
    case action_kind::resume:
        router.paused = false;
        return;
    case action_kind::recover:
        recover_dead(simulation, one.amount, one.fault);
        return;
    case action_kind::top_up:
        auto port = simulation.direct;
        port.commit = [&simulation, &one](store::transaction const& txn)
        {
            return simulation.commit(txn, one.fault);
        };
        (void)top_up(port, budget, std::to_string(number), one.amount);
        return;
    }
}

void check_now(fleet_simulation const& simulation)
{
    RC_ASSERT(!simulation.accepted_twice);
    for (auto const& budget : budgets)
    {
        auto const found = audit_of(*simulation.table, budget);
        RC_ASSERT(is_consistent(found));
        RC_ASSERT(simulation.used(budget) <= found.row.paid);
    }
}

/// Ends all faults: running routers stop, the dead are recovered, and delayed
/// writes are applied.
void stop_and_settle(fleet_simulation& simulation)
{
    constexpr int rounds = 200;
    for (auto& router : simulation.routers)
    {
        router.paused = false;
        for (auto& [budget, share] : router.shares)
        {
            share = close(std::move(share));
        }
    }
    for (int round = 0; round < rounds; ++round)
    {
        simulation.now = simulation.now + duration{100};
        simulation.deliver_one_delayed();
        for (auto& router : simulation.routers)
        {
            if (!router.dead)
            {
                simulation.finish_at(router, 100);
                simulation.advance(router, call_fault::none);
                simulation.advance(router, call_fault::none);
            }
        }
    }
    recover_dead(simulation, 0, call_fault::none);
    check_now(simulation);
}

/// Returns whether the tokens held back at the recovery of a dead router cover
/// the requests that it responded to and did not bill.
bool is_reported(fleet_simulation const& simulation,
                 simulated_router const& router, budget_id const& budget,
                 audit const& found)
{
    token_count unbilled = 0;
    for (auto const& [id, record] : simulation.records)
    {
        auto const here = record.router == router.holder.incarnation &&
                          record.budget == budget && record.responded;
        unbilled += here && !found.bills.contains(id) ? record.cost : 0;
    }
    token_count held = 0;
    auto const key = held_key(budget, router.holder.incarnation);
    for (auto const& row : simulation.table->read({key}))
    {
        held = decode_held(row.value).value().tokens;
    }
    return unbilled <= held;
}

void advance_all(fleet_simulation& simulation, int rounds)
{
    for (int i = 0; i < rounds; ++i)
    {
        simulation.now = simulation.now + duration{50};
        for (auto& router : simulation.routers)
        {
            simulation.advance(router, call_fault::none);
        }
    }
}

} // namespace

class share_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(share_test);
    CPPUNIT_TEST(no_scenario_overspends_or_bills_twice);
    CPPUNIT_TEST(a_late_return_is_not_spent_again);
    CPPUNIT_TEST(a_dead_routers_first_draw_is_rejected);
    CPPUNIT_TEST(only_a_listed_and_missing_router_is_recovered);
    CPPUNIT_TEST(the_last_tokens_are_gathered);
    CPPUNIT_TEST_SUITE_END();

    // Routers crash, pause and resume, the table fails, calls and responses are
    // lost, delayed or duplicated, two routers recover a dead one, and the
    // budget is topped up, in any order. Guards against spending more than was
    // paid, billing a request twice, and tokens that are never returned.
    void no_scenario_overspends_or_bills_twice()
    {
        auto const holds = rc::check(
            []
            {
                fleet_simulation simulation;
                for (int i = 0; i < router_count; ++i)
                {
                    simulation.add_router();
                }
                for (auto const& budget : budgets)
                {
                    RC_ASSERT(top_up(simulation.direct, budget, "first",
                                     first_payment));
                }
                auto const scenario = *any_scenario();
                int number = 0;
                for (auto const& one : scenario)
                {
                    execute(simulation, one, ++number);
                    check_now(simulation);
                }
                stop_and_settle(simulation);
                for (auto const& budget : budgets)
                {
                    auto const found = audit_of(*simulation.table, budget);
                    RC_ASSERT(found.shares == 0);
                    RC_ASSERT(found.row.granted == found.row.retired);
                    for (auto const& router : simulation.routers)
                    {
                        RC_ASSERT(
                            is_reported(simulation, router, budget, found));
                    }
                }
            });
        CPPUNIT_ASSERT(holds);
    }

    /// Adds a router that has read a budget of 1,000 tokens for a request of
    /// 400 and is about to draw.
    static simulated_router& add_drawing_router(fleet_simulation& simulation)
    {
        simulation.add_router();
        CPPUNIT_ASSERT(top_up(simulation.direct, budgets[0], "first", 1'000));
        auto& router = simulation.routers.front();
        simulation.reserve_at(router, budgets[0],
                              budget_policy::overspend_first, 400, {1'000});
        simulation.advance(router, call_fault::none);
        return router;
    }

    // A router returns idle tokens, the call is delayed and the router gives up
    // waiting. It reads its row, finds it unchanged, and the write is applied
    // afterwards. Guards against a router that takes the tokens back: it and
    // another router would both spend them.
    void a_late_return_is_not_spent_again()
    {
        fleet_simulation simulation;
        auto& router = add_drawing_router(simulation);
        simulation.advance(router, call_fault::none);
        simulation.finish_at(router, 0);
        auto& share = router.shares.at(budgets[0]);
        auto const free = free_tokens(share);
        CPPUNIT_ASSERT(free >= 400);
        auto row = audit_of(*simulation.table, budgets[0]).row;
        row.wanted = 900;
        simulation.table->commit({{}, {{budget_key(budgets[0]), encode(row)}}});
        simulation.now = simulation.now + duration{1'000};
        simulation.advance(router, call_fault::none);
        simulation.advance(router, call_fault::delayed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, simulation.delayed.size());
        simulation.now = simulation.now + duration{1'000};
        simulation.advance(router, call_fault::none);
        CPPUNIT_ASSERT_EQUAL(token_count{0}, free_tokens(share));
        simulation.deliver_one_delayed();
        simulation.now = simulation.now + duration{1'000};
        simulation.advance(router, call_fault::none);
        simulation.advance(router, call_fault::none);
        CPPUNIT_ASSERT(is_consistent(audit_of(*simulation.table, budgets[0])));
        CPPUNIT_ASSERT_EQUAL(token_count{0}, free_tokens(share));
    }

    // The first draw of a router is delayed; the router dies and is recovered
    // before the draw arrives. Guards against granting tokens then: no router
    // would hold them, and the customer would lose them for good.
    void a_dead_routers_first_draw_is_rejected()
    {
        fleet_simulation simulation;
        auto& router = add_drawing_router(simulation);
        simulation.advance(router, call_fault::delayed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, simulation.delayed.size());
        simulation.crash(router);
        recover_dead(simulation, 0, call_fault::none);
        simulation.deliver_one_delayed();
        CPPUNIT_ASSERT_EQUAL(
            token_count{0},
            audit_of(*simulation.table, budgets[0]).row.granted);
    }

    // A new router is not in the platform's lagging list yet, and a running one
    // is missing from one response. Guards against taking them for dead, which
    // would recover shares that they still spend.
    void only_a_listed_and_missing_router_is_recovered()
    {
        constexpr duration lag{30'000};
        fleet_simulation simulation;
        simulation.add_router();
        simulation.add_router();
        auto const list_of = [](std::string const& name)
        {
            return std::vector<store::listed_vm>{
                {"vm", name, "10.0.0.9:1", "sala-sur", "live"}};
        };
        auto const is_active = [&simulation](std::string const& name)
        {
            auto const rows = simulation.table->read({holder_key({name})});
            return decode_holder(rows.at(0).value).value().state ==
                   holder_state::active;
        };
        death_watch watch;
        auto const sweep_after = [&simulation, &watch, lag](duration elapsed)
        {
            simulation.now = simulation.now + elapsed;
            watch = sweep(simulation.direct, watch, lag, simulation.now)
                        .value()
                        .watch;
        };
        simulation.table->set_vms(list_of("r1"));
        sweep_after(lag);
        sweep_after(lag * 10);
        CPPUNIT_ASSERT(is_active("r1") && is_active("r2"));
        simulation.table->set_vms({});
        sweep_after({1'000});
        simulation.table->set_vms(list_of("r1"));
        sweep_after(lag);
        simulation.table->set_vms({});
        sweep_after({1'000});
        CPPUNIT_ASSERT(is_active("r1"));
        sweep_after(lag);
        CPPUNIT_ASSERT(!is_active("r1") && is_active("r2"));
    }

    // The last tokens are spread over nine routers, and a request needs more
    // than any of them holds. Guards against rejecting the request although the
    // budget has enough tokens.
    void the_last_tokens_are_gathered()
    {
        constexpr int routers = 9;
        fleet_simulation simulation;
        CPPUNIT_ASSERT(top_up(simulation.direct, budgets[0], "first", 900));
        for (int i = 0; i < routers; ++i)
        {
            simulation.add_router();
            auto& router = simulation.routers.back();
            simulation.reserve_at(router, budgets[0],
                                  budget_policy::overspend_first, 90, {1'000});
        }
        advance_all(simulation, 20);
        for (auto& router : simulation.routers)
        {
            simulation.finish_at(router, 0);
        }
        simulation.reserve_at(simulation.routers.front(), budgets[0],
                              budget_policy::overspend_first, 850, {3'000});
        advance_all(simulation, 60);
        auto const& share = simulation.routers.front().shares.at(budgets[0]);
        CPPUNIT_ASSERT_EQUAL(token_count{850}, share.reserved);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(share_test);
