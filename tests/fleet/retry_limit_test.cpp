#include "fleet/retry_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace caperpath;
using namespace caperpath::fleet;

/// The retry limit holds for the sum over all routers that ever ran.
class retry_limit_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(retry_limit_test);
    CPPUNIT_TEST(an_outage_of_the_store_adds_no_allowance);
    CPPUNIT_TEST(routers_that_start_in_an_outage_add_no_allowance);
    CPPUNIT_TEST(restarts_add_no_allowance);
    CPPUNIT_TEST(a_large_fleet_keeps_its_count_between_two_reads);
    CPPUNIT_TEST(added_routers_add_no_allowance);
    CPPUNIT_TEST(a_router_that_cannot_read_does_not_use_its_old_count);
    CPPUNIT_TEST(a_router_that_cannot_write_leaves_its_part_to_the_others);
    CPPUNIT_TEST(parts_of_stopped_routers_are_not_used_in_the_same_window);
    CPPUNIT_TEST(
        a_fleet_that_shrinks_and_grows_without_reads_adds_no_allowance);
    CPPUNIT_TEST(a_suspended_machine_resumes_without_allowance);
    CPPUNIT_TEST(two_bursts_of_requests_count_in_one_window_only);
    CPPUNIT_TEST(a_settled_fleet_can_use_its_allowance);
    CPPUNIT_TEST(random_events_never_exceed_the_limit);
    CPPUNIT_TEST_SUITE_END();

    /// The limit of a fleet of about eighty routers.
    static constexpr retry_limit large{0.2, 202, {10'000}};
    static constexpr std::size_t many = 81;
    static constexpr duration a_minute{60'000};

    static void check_limit(retry_fleet const& sim)
    {
        CPPUNIT_ASSERT_LESSEQUAL(0.0, sim.max_excess());
    }

    // The store stops responding while servers reject requests. Guards against
    // lifetimes that expire while renewals cannot be read: after 14 s each of
    // 81 routers would count only itself, use the retry allowance of the whole
    // fleet and add load to overloaded servers. The log then shows
    // `step=repeat_limit routers=1 before=81`, and `step=repeats` rejects none
    // instead of 750 in 2 s.
    void an_outage_of_the_store_adds_no_allowance()
    {
        retry_fleet sim{large};
        sim.start_settled(many);
        sim.set_store(false);
        sim.run_while_rejecting({25'000}, 1);
        sim.set_store(true);
        sim.run_while_rejecting({20'000}, 1);
        check_limit(sim);
    }

    // All routers start while the store does not respond. None has read the
    // rows of the others, so each counts only itself.
    void routers_that_start_in_an_outage_add_no_allowance()
    {
        retry_fleet sim{large};
        sim.set_store(false);
        sim.start(many);
        sim.run_while_rejecting({12'000}, 1);
        check_limit(sim);
    }

    // Routers are killed three times within a few seconds. Each new process
    // starts with an empty window and without other members (`step=repeat_limit
    // routers=1`). Guards against using the retry allowance again in each
    // incarnation: 929 retries in 10 s for 3,587 requests, where 919 are
    // allowed.
    void restarts_add_no_allowance()
    {
        retry_fleet sim{large};
        sim.start_settled(many);
        sim.request(10);
        sim.run_while_rejecting({2'000}, 0);
        for (int life = 0; life < 3; ++life)
        {
            sim.kill_all();
            sim.start(many);
            sim.advance({1'000});
            sim.request(10);
            sim.run_while_rejecting({2'000}, 0);
        }
        check_limit(sim);
    }

    // Routers read the rows of 390 routers every 19.5 s to limit the load on
    // the store. Guards against counting a row as dead because its last known
    // change is older than a heartbeat's lifetime: between two reads every
    // router would count only itself.
    void a_large_fleet_keeps_its_count_between_two_reads()
    {
        retry_fleet sim{{0.2, 900, {10'000}}};
        sim.start_settled(390);
        for (int round = 0; round < 4; ++round)
        {
            sim.advance({4'500});
            sim.request(1);
            sim.retry_all();
        }
        check_limit(sim);
    }

    // Routers join a fleet that uses all of its retry allowance. The others
    // count them only after their next read, and until then divide by too few.
    void added_routers_add_no_allowance()
    {
        retry_fleet sim{{0.2, 60, {10'000}}};
        sim.start_settled(3);
        sim.retry_all();
        sim.start(9);
        sim.run_while_rejecting({20'000}, 0);
        check_limit(sim);
    }

    /// The reads of `old` routers fail and `joining` others start; the servers
    /// reject requests after `quiet`.
    static void join_without_reads(std::size_t old, std::size_t joining,
                                   duration quiet)
    {
        retry_fleet sim{{0.2, 6'000, {10'000}}};
        sim.start_settled(old);
        for (std::size_t i = 0; i < old; ++i)
        {
            sim.set_reads(i, false);
        }
        sim.start(joining);
        sim.advance(quiet);
        sim.run_while_rejecting({30'000}, 0);
        check_limit(sim);
    }

    // The heartbeats of a fleet are written but its reads fail. Guards against
    // routers that do not count those that join and divide the whole retry
    // allowance among themselves. Views of a large fleet live longer, since it
    // reads less often.
    void a_router_that_cannot_read_does_not_use_its_old_count()
    {
        for (auto quiet = duration{0}; quiet < duration{10'000};
             quiet = quiet + duration{1'000})
        {
            join_without_reads(3, 9, quiet);
            join_without_reads(100, 100, quiet);
        }
    }

    // The heartbeats of nine of twelve routers are not written, but their reads
    // succeed. The three others count them as dead and use their parts while
    // the nine still run.
    void a_router_that_cannot_write_leaves_its_part_to_the_others()
    {
        retry_fleet sim{{0.2, 600, {10'000}}};
        sim.start_settled(12);
        for (std::size_t i = 0; i < 9; ++i)
        {
            sim.set_writes(i, false);
        }
        sim.run_while_rejecting(a_minute, 0);
        // Their first heartbeat counts at once, but the views of the others do
        // not show it yet.
        for (std::size_t i = 0; i < 9; ++i)
        {
            sim.set_writes(i, true);
        }
        sim.run_while_rejecting(a_minute, 0);
        check_limit(sim);
    }

    // Nine of twelve routers use their parts and stop as planned. Guards
    // against the three others using the whole allowance while the retries of
    // the nine are still in the window.
    void parts_of_stopped_routers_are_not_used_in_the_same_window()
    {
        retry_fleet sim{{0.2, 600, {10'000}}};
        sim.start_settled(12);
        sim.retry_all();
        for (std::size_t i = 0; i < 9; ++i)
        {
            sim.stop(i);
        }
        sim.run_while_rejecting({9'500}, 0);
        check_limit(sim);
    }

    // Of a hundred routers all but ten stop, and ten others start. The ten that
    // remain cannot read: they still divide by a hundred, and may do so for
    // longer than the new ones wait for views of a small fleet to expire.
    void a_fleet_that_shrinks_and_grows_without_reads_adds_no_allowance()
    {
        retry_fleet sim{{0.2, 600, {10'000}}};
        sim.start_settled(100);
        for (std::size_t i = 0; i < 100; ++i)
        {
            if (i < 10)
            {
                sim.set_reads(i, false);
                continue;
            }
            sim.stop(i);
        }
        sim.start(10);
        sim.run_while_rejecting(a_minute, 0);
        check_limit(sim);
    }

    // Machines are suspended for a minute together with their monotonic clocks.
    // The others no longer count them, but each resumes with a view of the
    // fleet that appears fresh.
    void a_suspended_machine_resumes_without_allowance()
    {
        retry_fleet sim{{0.2, 60, {10'000}}};
        sim.start_settled(12);
        for (std::size_t i = 0; i < 9; ++i)
        {
            sim.suspend(i, {70'000});
        }
        sim.advance({69'000});
        sim.retry_all();
        sim.advance({1'000});
        sim.run_while_rejecting({3'000}, 0);
        check_limit(sim);
    }

    // Requests arrive in two bursts, nearly a window apart, and the second
    // burst fails. If the requests of both counted, the retries would exceed
    // the limit of every single window.
    void two_bursts_of_requests_count_in_one_window_only()
    {
        retry_fleet sim{{0.2, 0, {10'000}}};
        sim.start(4);
        sim.request(1'000);
        sim.advance({9'800});
        sim.request(1'000);
        sim.retry_all();
        sim.advance({9'800});
        sim.retry_all();
        check_limit(sim);
    }

    // A router rarely gets a request for a service with little traffic. Without
    // the retry allowance it could never retry one after a server failure.
    void a_settled_fleet_can_use_its_allowance()
    {
        retry_fleet nine{{0.2, 60, {10'000}}};
        nine.start_settled(9);
        nine.retry_all();
        CPPUNIT_ASSERT(nine.retries() >= 9 * 5);
        check_limit(nine);
        // In a large fleet, also between two reads of all rows.
        constexpr std::int64_t most = 390;
        retry_fleet all{{0.2, 900, {10'000}}};
        all.start_settled(most);
        for (std::int64_t window = 1; window <= 4; ++window)
        {
            all.retry_all();
            CPPUNIT_ASSERT(all.retries() >= most * window);
            all.advance({10'100});
        }
        check_limit(all);
    }

    /// Applies one random event to the fleet.
    static void apply_random_event(retry_fleet& sim)
    {
        auto const running = sim.running();
        auto const some = [&]
        {
            return running[*rc::gen::inRange<std::size_t>(0, running.size())];
        };
        auto const event = *rc::gen::inRange(0, 14);
        if (event <= 1)
        {
            sim.start(*rc::gen::inRange<std::size_t>(1, 6));
        }
        else if (event == 2)
        {
            sim.set_store(false);
        }
        else if (event <= 4)
        {
            sim.set_store(true);
        }
        else if (event == 5)
        {
            sim.kill_all();
            sim.start(*rc::gen::inRange<std::size_t>(1, 12));
        }
        else if (event == 6)
        {
            sim.request(*rc::gen::inRange(0, 60));
        }
        else if (running.empty())
        {
            return;
        }
        else if (event == 7)
        {
            sim.kill(some());
        }
        else if (event == 8)
        {
            sim.stop(some());
        }
        else if (event == 9)
        {
            sim.suspend(some(), {*rc::gen::inRange(100, 60'000)});
        }
        else if (event <= 11)
        {
            sim.set_reads(some(), event == 10);
        }
        else
        {
            sim.set_writes(some(), event == 12);
        }
    }

    // Starts, kills, planned stops, suspended machines, outages for all or some
    // routers, lost and late heartbeats and bursts of requests, in any order.
    // The views of single routers may be wrong, but the sum of their retries
    // must stay within the limit.
    void random_events_never_exceed_the_limit()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                retry_fleet sim{{0.2, 600, {10'000}}};
                sim.call_time = {*rc::gen::inRange(1, 900)};
                auto heartbeats = 0;
                auto const lossy = *rc::gen::inRange(2, 9);
                sim.next_outcome = [&]
                {
                    heartbeats += 1;
                    return heartbeats % lossy != 0
                               ? heartbeat_outcome::acknowledged
                           : heartbeats % 2 == 0
                               ? heartbeat_outcome::applied_late
                               : heartbeat_outcome::response_lost;
                };
                sim.start(*rc::gen::inRange<std::size_t>(1, 12));
                if (*rc::gen::inRange(0, 2) == 0)
                {
                    sim.advance(a_minute);
                }
                auto const events = *rc::gen::inRange(1, 14);
                for (int i = 0; i < events; ++i)
                {
                    apply_random_event(sim);
                    if (*rc::gen::inRange(0, 3) == 0)
                    {
                        sim.advance({*rc::gen::inRange(0, 50'000)});
                    }
                    sim.run_while_rejecting({*rc::gen::inRange(100, 6'000)},
                                            *rc::gen::inRange(0, 2));
                }
                RC_ASSERT(sim.max_excess() <= 0.0);
            }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_limit_test);
