#include "gateway/fleet_site.hpp"
#include "gateway/plain_caller.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

using namespace caperpath;
using namespace caperpath::gateway;

/// Streams, budgets, and the end and restart of a router.
class gateway_stream_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(gateway_stream_test);
    CPPUNIT_TEST(events_come_through_in_order);
    CPPUNIT_TEST(a_stream_that_breaks_off_does_not_look_whole);
    CPPUNIT_TEST(events_before_the_break_reach_a_slow_caller);
    CPPUNIT_TEST(a_resumable_stream_goes_on_at_another_server);
    CPPUNIT_TEST(no_more_is_served_than_was_paid);
    CPPUNIT_TEST(a_budget_lasts_through_an_outage_of_the_store);
    CPPUNIT_TEST(a_successor_takes_over_what_was_not_spent);
    CPPUNIT_TEST(a_share_is_taken_over_by_a_busy_store_too);
    CPPUNIT_TEST(a_lost_draw_is_not_spent_twice);
    CPPUNIT_TEST(a_router_that_knows_no_budget_is_not_ready);
    CPPUNIT_TEST(a_planned_stop_finishes_what_is_open);
    CPPUNIT_TEST(a_router_that_stops_answers_whoever_still_comes);
    CPPUNIT_TEST_SUITE_END();

    using request = fake_server::request;

    static std::string event(int id)
    {
        return "id: " + std::to_string(id) + "\ndata: t" + std::to_string(id) +
               "\n\n";
    }

    static script three_events(request const& got)
    {
        return {{stream_head(got), chunk_of(event(1)),
                 chunk_of(event(2) + event(3)), chunk_of("")}};
    }

    static void wait_ready(fleet_site& here)
    {
        CPPUNIT_ASSERT(here.run_until([&] { return here.readiness() == 200; }));
    }

    /// How many of `count` prompts of 10,000 tokens are served.
    static int served_of(fleet_site& here, int count)
    {
        int served = 0;
        for (int i = 0; i < count; ++i)
        {
            auto const got =
                here.send(fleet_site::prompt("/chat/1", 10'000, 20));
            served += got.status == 200 ? 1 : 0;
        }
        return served;
    }

    void events_come_through_in_order()
    {
        fleet_site here;
        here.add_server("i-1", "llm", three_events);
        wait_ready(here);
        auto const got = here.send(fleet_site::prompt("/chat/1", 500, 20));
        CPPUNIT_ASSERT_EQUAL(200, got.status);
        CPPUNIT_ASSERT(got.whole);
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3), got.body);
    }

    // An engine dies in the middle of a stream that may not be resumed. If the
    // caller could not tell, a diagnosis would lack its end.
    void a_stream_that_breaks_off_does_not_look_whole()
    {
        fleet_site here;
        here.add_server("i-1", "llm",
                        [](request const& got)
                        {
                            return script{{stream_head(got), chunk_of(event(1)),
                                           "20\r\nid: 2"},
                                          script::end::reset};
                        });
        wait_ready(here);
        auto const got = here.send(fleet_site::prompt("/chat/1", 500, 20));
        CPPUNIT_ASSERT(!got.whole);
        CPPUNIT_ASSERT(got.closed);
    }

    // Guards against a reset that takes events which were ready from a caller
    // that reads slowly.
    void events_before_the_break_reach_a_slow_caller()
    {
        constexpr std::size_t event_size = 100'000;
        constexpr int small_buffer = 4'096;
        auto const large =
            "id: 1\ndata: " + std::string(event_size, 'x') + "\n\n";
        fleet_site here;
        auto& server =
            here.add_server("i-1", "llm",
                            [&large](request const& got)
                            {
                                return script{{stream_head(got),
                                               chunk_of(large), "20\r\nid: 2"},
                                              script::end::reset};
                            });
        wait_ready(here);
        plain_caller caller{here.callers_port(), small_buffer};
        caller.send(fleet_site::prompt("/chat/1", 500, 20));
        CPPUNIT_ASSERT(
            here.run_until([&] { return server.requests.size() == 1; }));
        here.loop.run_for(std::chrono::milliseconds{100});
        got_answer got;
        CPPUNIT_ASSERT(here.run_until(
            [&]
            {
                got = caller.received();
                return got.closed;
            }));
        CPPUNIT_ASSERT(got.body == large);
        CPPUNIT_ASSERT(!got.whole);
    }

    // An engine dies in the middle of an event. Another one goes on after the
    // last whole event, and the caller reads one stream without a gap.
    void a_resumable_stream_goes_on_at_another_server()
    {
        fleet_site here;
        std::string resumed_after;
        auto const breaks_first = [&resumed_after](request const& got)
        {
            if (got.find("Last-Event-Id") == got.end())
            {
                return script{{stream_head(got), chunk_of(event(1)),
                               chunk_of(event(2) + "id: 3\nda")},
                              script::end::reset};
            }
            resumed_after = std::string{got["Last-Event-Id"]};
            return script{{stream_head(got), chunk_of(event(3)), chunk_of("")}};
        };
        here.add_server("i-1", "llm", breaks_first);
        here.add_server("i-2", "llm", breaks_first);
        wait_ready(here);
        auto const got = here.send(fleet_site::prompt("/resume/1", 500, 20));
        CPPUNIT_ASSERT(got.whole);
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3), got.body);
        CPPUNIT_ASSERT_EQUAL(std::string{"2"}, resumed_after);
    }

    void no_more_is_served_than_was_paid()
    {
        fleet_site here;
        here.add_server("i-1", "llm", three_events);
        wait_ready(here);
        int served = 0;
        for (int i = 0; i < 12; ++i)
        {
            auto const got =
                here.send(fleet_site::prompt("/chat/1", 10'000, 20));
            served += got.status == 200 ? 1 : 0;
            CPPUNIT_ASSERT(got.status == 200 || got.status == 402 ||
                           got.status == 429 || got.status == 503);
        }
        // Each uses 10,000 and six for its three events of two.
        CPPUNIT_ASSERT_EQUAL(9, served);
    }

    // The store is away for seconds. Callers with budget left are served from
    // the router's share.
    void a_budget_lasts_through_an_outage_of_the_store()
    {
        fleet_site here;
        here.add_server("i-1", "llm", three_events);
        wait_ready(here);
        CPPUNIT_ASSERT_EQUAL(
            200, here.send(fleet_site::prompt("/chat/1", 1'000, 20)).status);
        here.store.reachable = false;
        auto const served = [&]
        {
            return here.send(fleet_site::prompt("/chat/1", 500, 20)).status ==
                   200;
        };
        CPPUNIT_ASSERT(here.run_until(served));
    }

    // A router is killed and starts again at once. What it had drawn and not
    // spent would be lost to the customer, whose last requests are refused.
    void a_successor_takes_over_what_was_not_spent()
    {
        auto here = std::make_unique<fleet_site>();
        here->add_server("i-1", "llm", three_events);
        wait_ready(*here);
        CPPUNIT_ASSERT_EQUAL(3, served_of(*here, 3));
        auto const journaled = [&]
        {
            auto const row = here->store.own("spend/vm-1");
            return row.find("\"at_ms\":0") == std::string::npos &&
                   row.find("taller") != std::string::npos;
        };
        CPPUNIT_ASSERT(here->run_until(journaled));
        auto const share = here->store.own("share/vm-1-1/taller");
        CPPUNIT_ASSERT(!share.empty());
        here = fleet_site::after_crash(std::move(here));
        here->add_server("i-1", "llm", three_events);
        // One event at a time, so that the row is seen as it is renamed and
        // before the new router draws more.
        std::string renamed;
        while (renamed.empty())
        {
            CPPUNIT_ASSERT(here->loop.run_one_for(std::chrono::seconds{5}) > 0);
            renamed = here->store.own("share/vm-1-2/taller");
        }
        CPPUNIT_ASSERT_EQUAL(share, renamed);
        CPPUNIT_ASSERT(here->store.own("share/vm-1-1/taller").empty());
        wait_ready(*here);
        auto const served = 3 + served_of(*here, 9);
        CPPUNIT_ASSERT(served <= 9);
        CPPUNIT_ASSERT(served >= 8);
    }

    // All routers of a large site are killed at the same moment and their
    // successors rename thousands of share rows at once: the store refuses some
    // of the writes and loses the answers of others. Each share that is not
    // taken over is lost to its customer, who is refused with tokens unspent.
    void a_share_is_taken_over_by_a_busy_store_too()
    {
        auto here = std::make_unique<fleet_site>();
        here->add_server("i-1", "llm", three_events);
        wait_ready(*here);
        CPPUNIT_ASSERT_EQUAL(3, served_of(*here, 3));
        auto const journaled = [&]
        {
            return here->store.own("spend/vm-1").find("taller") !=
                   std::string::npos;
        };
        CPPUNIT_ASSERT(here->run_until(journaled));
        here = fleet_site::after_crash(std::move(here));
        here->add_server("i-1", "llm", three_events);
        auto const read = [&]
        {
            return here->store.own("spend/vm-1").find("vm-1-2") !=
                   std::string::npos;
        };
        CPPUNIT_ASSERT(here->run_until(read));
        here->store.refuses_writes = 2;
        wait_ready(*here);
        auto const taken = [&]
        {
            return here->store.own("share/vm-1-1/taller").empty();
        };
        CPPUNIT_ASSERT(here->run_until(taken));
        auto const served = 3 + served_of(*here, 9);
        CPPUNIT_ASSERT(served <= 9);
        CPPUNIT_ASSERT(served >= 8);
    }

    // A draw takes effect and its answer is lost. Drawn again as if it had not,
    // the budget would be given out twice.
    void a_lost_draw_is_not_spent_twice()
    {
        fleet_site here;
        here.add_server("i-1", "llm", three_events);
        wait_ready(here);
        here.store.loses_answers = true;
        static_cast<void>(here.send(fleet_site::prompt("/chat/1", 30'000, 20)));
        here.store.loses_answers = false;
        auto const served = served_of(here, 12);
        CPPUNIT_ASSERT(served <= 9);
        CPPUNIT_ASSERT(served >= 6);
    }

    // A router comes back after a crash, reads the configuration, and is cut
    // off from the store. It said it was ready after 1.5 s, the balancer sent
    // it callers, and all of them were refused for want of a budget.
    void a_router_that_knows_no_budget_is_not_ready()
    {
        fleet_site here;
        here.store.silent_for = "budget/";
        here.add_server("i-1", "llm", three_events);
        auto const until =
            std::chrono::steady_clock::now() + std::chrono::milliseconds{2'500};
        CPPUNIT_ASSERT(here.run_until(
            [&] { return std::chrono::steady_clock::now() > until; }));
        CPPUNIT_ASSERT_EQUAL(503, here.readiness());
        here.store.silent_for.clear();
        wait_ready(here);
    }

    // A machine is stopped for maintenance. A request that is open then gets
    // its whole answer, and the balancer sends no new ones.
    void a_planned_stop_finishes_what_is_open()
    {
        fleet_site here;
        here.add_server("i-1", "llm",
                        [&here](request const& got)
                        {
                            here.router->stop();
                            return three_events(got);
                        });
        wait_ready(here);
        auto const got = here.send(fleet_site::prompt("/chat/1", 500, 20));
        CPPUNIT_ASSERT(got.whole);
        CPPUNIT_ASSERT(got.head.find("Connection: close") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(503, here.readiness());
        CPPUNIT_ASSERT(here.run_until([&] { return here.router->stopped(); }));
        CPPUNIT_ASSERT(here.store.own("share/vm-1-1/taller").empty());
    }

    // A machine is stopped while the store is away, so that the router waits to
    // give its shares back. The balancer has few other routers left and sends
    // callers on. Closed without a word, an order's caller cannot know whether
    // it ran.
    void a_router_that_stops_answers_whoever_still_comes()
    {
        fleet_site here;
        here.add_server("i-1", "llm", three_events);
        wait_ready(here);
        // From now on it holds a share that it has to give back.
        CPPUNIT_ASSERT_EQUAL(
            200, here.send(fleet_site::prompt("/chat/1", 500, 20)).status);
        here.store.reachable = false;
        here.router->stop();
        auto const closing =
            std::chrono::steady_clock::now() + std::chrono::milliseconds{3'300};
        CPPUNIT_ASSERT(here.run_until(
            [&] { return std::chrono::steady_clock::now() > closing; }));
        CPPUNIT_ASSERT(!here.router->stopped());
        auto const got = here.send(fleet_site::prompt("/chat/1", 500, 20));
        CPPUNIT_ASSERT(got.whole);
        CPPUNIT_ASSERT(got.status == 200 || got.status == 503);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_stream_test);
