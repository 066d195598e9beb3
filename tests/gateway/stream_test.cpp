#include "gateway/fleet_site.hpp"
#include "gateway/standalone_client.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

using namespace caperpath;
using namespace caperpath::gateway;

/// Streams, budgets, and the stop and restart of a router.
class gateway_stream_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(gateway_stream_test);
    CPPUNIT_TEST(events_are_forwarded_in_order);
    CPPUNIT_TEST(a_truncated_stream_is_not_seen_as_complete);
    CPPUNIT_TEST(events_before_a_reset_reach_a_slow_caller);
    CPPUNIT_TEST(a_resumable_stream_resumes_on_another_server);
    CPPUNIT_TEST(no_more_is_served_than_was_paid);
    CPPUNIT_TEST(a_share_is_served_during_a_store_outage);
    CPPUNIT_TEST(a_successor_takes_over_unspent_tokens);
    CPPUNIT_TEST(a_share_is_taken_over_if_the_store_rejects_writes);
    CPPUNIT_TEST(a_draw_with_a_lost_response_is_not_spent_twice);
    CPPUNIT_TEST(a_router_that_read_no_budget_is_not_ready);
    CPPUNIT_TEST(a_planned_stop_finishes_open_requests);
    CPPUNIT_TEST(a_stopping_router_responds_to_new_requests);
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

    static void wait_ready(fleet_site& site)
    {
        CPPUNIT_ASSERT(site.run_until([&] { return site.readiness() == 200; }));
    }

    /// How many of `count` prompts of 10,000 tokens are served.
    static int served_of(fleet_site& site, int count)
    {
        int served = 0;
        for (int i = 0; i < count; ++i)
        {
            auto const got =
                site.send(fleet_site::prompt("/chat/1", 10'000, 20));
            served += got.status == 200 ? 1 : 0;
        }
        return served;
    }

    // Guards against events that are lost, altered or reordered.
    void events_are_forwarded_in_order()
    {
        fleet_site site;
        site.add_server("i-1", "llm", three_events);
        wait_ready(site);
        auto const got = site.send(fleet_site::prompt("/chat/1", 500, 20));
        CPPUNIT_ASSERT_EQUAL(200, got.status);
        CPPUNIT_ASSERT(got.complete);
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3), got.body);
    }

    // An engine dies within a stream that may not be resumed. Guards against a
    // caller that cannot tell that the end of the response is missing.
    void a_truncated_stream_is_not_seen_as_complete()
    {
        fleet_site site;
        site.add_server("i-1", "llm",
                        [](request const& got)
                        {
                            return script{{stream_head(got), chunk_of(event(1)),
                                           "20\r\nid: 2"},
                                          script::ending::reset};
                        });
        wait_ready(site);
        auto const got = site.send(fleet_site::prompt("/chat/1", 500, 20));
        CPPUNIT_ASSERT(!got.complete);
        CPPUNIT_ASSERT(got.closed);
    }

    // A server resets its connection after events that its caller has not read
    // yet. Guards against a reset that discards these events.
    void events_before_a_reset_reach_a_slow_caller()
    {
        constexpr std::size_t event_size = 100'000;
        constexpr int small_buffer = 4'096;
        auto const large =
            "id: 1\ndata: " + std::string(event_size, 'x') + "\n\n";
        fleet_site site;
        auto& server =
            site.add_server("i-1", "llm",
                            [&large](request const& got)
                            {
                                return script{{stream_head(got),
                                               chunk_of(large), "20\r\nid: 2"},
                                              script::ending::reset};
                            });
        wait_ready(site);
        standalone_client caller{site.callers_port(), small_buffer};
        caller.send(fleet_site::prompt("/chat/1", 500, 20));
        CPPUNIT_ASSERT(
            site.run_until([&] { return server.requests.size() == 1; }));
        site.loop.run_for(std::chrono::milliseconds{100});
        received_response got;
        CPPUNIT_ASSERT(site.run_until(
            [&]
            {
                got = caller.received();
                return got.closed;
            }));
        CPPUNIT_ASSERT(got.body == large);
        CPPUNIT_ASSERT(!got.complete);
    }

    // An engine dies within an event. Guards against a resumed stream that
    // lacks or repeats events: another server has to go on after the last
    // complete event.
    void a_resumable_stream_resumes_on_another_server()
    {
        fleet_site site;
        std::string resumed_after;
        auto const truncates_first = [&resumed_after](request const& got)
        {
            if (got.find("Last-Event-Id") == got.end())
            {
                return script{{stream_head(got), chunk_of(event(1)),
                               chunk_of(event(2) + "id: 3\nda")},
                              script::ending::reset};
            }
            resumed_after = std::string{got["Last-Event-Id"]};
            return script{{stream_head(got), chunk_of(event(3)), chunk_of("")}};
        };
        site.add_server("i-1", "llm", truncates_first);
        site.add_server("i-2", "llm", truncates_first);
        wait_ready(site);
        auto const got = site.send(fleet_site::prompt("/resume/1", 500, 20));
        CPPUNIT_ASSERT(got.complete);
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3), got.body);
        CPPUNIT_ASSERT_EQUAL(std::string{"2"}, resumed_after);
    }

    // Guards against a budget that is overspent.
    void no_more_is_served_than_was_paid()
    {
        fleet_site site;
        site.add_server("i-1", "llm", three_events);
        wait_ready(site);
        int served = 0;
        for (int i = 0; i < 12; ++i)
        {
            auto const got =
                site.send(fleet_site::prompt("/chat/1", 10'000, 20));
            served += got.status == 200 ? 1 : 0;
            CPPUNIT_ASSERT(got.status == 200 || got.status == 402 ||
                           got.status == 429 || got.status == 503);
        }
        // Each request uses 10,000 tokens, and six for its three events of two.
        CPPUNIT_ASSERT_EQUAL(9, served);
    }

    // Guards against rejecting callers during a short outage of the store
    // although the router has a share with tokens left.
    void a_share_is_served_during_a_store_outage()
    {
        fleet_site site;
        site.add_server("i-1", "llm", three_events);
        wait_ready(site);
        CPPUNIT_ASSERT_EQUAL(
            200, site.send(fleet_site::prompt("/chat/1", 1'000, 20)).status);
        site.store.reachable = false;
        auto const served = [&]
        {
            return site.send(fleet_site::prompt("/chat/1", 500, 20)).status ==
                   200;
        };
        CPPUNIT_ASSERT(site.run_until(served));
    }

    // A router is killed and restarts at once. Guards against losing the tokens
    // that it had drawn and not spent: the last requests of the customer would
    // be rejected.
    void a_successor_takes_over_unspent_tokens()
    {
        auto site = std::make_unique<fleet_site>();
        site->add_server("i-1", "llm", three_events);
        wait_ready(*site);
        CPPUNIT_ASSERT_EQUAL(3, served_of(*site, 3));
        auto const journaled = [&]
        {
            auto const row = site->store.router_row("spend/vm-1");
            return row.find("\"at_ms\":0") == std::string::npos &&
                   row.find("taller") != std::string::npos;
        };
        CPPUNIT_ASSERT(site->run_until(journaled));
        auto const share = site->store.router_row("share/vm-1-1/taller");
        CPPUNIT_ASSERT(!share.empty());
        site = fleet_site::after_crash(std::move(site));
        site->add_server("i-1", "llm", three_events);
        // Runs one handler at a time, to see the row when it is renamed and
        // before the new router draws more.
        std::string renamed;
        while (renamed.empty())
        {
            CPPUNIT_ASSERT(site->loop.run_one_for(std::chrono::seconds{5}) > 0);
            renamed = site->store.router_row("share/vm-1-2/taller");
        }
        CPPUNIT_ASSERT_EQUAL(share, renamed);
        CPPUNIT_ASSERT(site->store.router_row("share/vm-1-1/taller").empty());
        wait_ready(*site);
        auto const served = 3 + served_of(*site, 9);
        CPPUNIT_ASSERT(served <= 9);
        CPPUNIT_ASSERT(served >= 8);
    }

    // All routers of a large site are killed together and their successors
    // rename thousands of share rows at once: the store rejects some writes and
    // loses the responses of others. Guards against shares that are not taken
    // over, which are lost to their customers.
    void a_share_is_taken_over_if_the_store_rejects_writes()
    {
        auto site = std::make_unique<fleet_site>();
        site->add_server("i-1", "llm", three_events);
        wait_ready(*site);
        CPPUNIT_ASSERT_EQUAL(3, served_of(*site, 3));
        auto const journaled = [&]
        {
            return site->store.router_row("spend/vm-1").find("taller") !=
                   std::string::npos;
        };
        CPPUNIT_ASSERT(site->run_until(journaled));
        site = fleet_site::after_crash(std::move(site));
        site->add_server("i-1", "llm", three_events);
        auto const read = [&]
        {
            return site->store.router_row("spend/vm-1").find("vm-1-2") !=
                   std::string::npos;
        };
        CPPUNIT_ASSERT(site->run_until(read));
        site->store.writes_to_reject = 2;
        wait_ready(*site);
        auto const taken = [&]
        {
            return site->store.router_row("share/vm-1-1/taller").empty();
        };
        CPPUNIT_ASSERT(site->run_until(taken));
        auto const served = 3 + served_of(*site, 9);
        CPPUNIT_ASSERT(served <= 9);
        CPPUNIT_ASSERT(served >= 8);
    }

    // A draw is applied and its response is lost. Guards against drawing the
    // same tokens again, which would overspend the budget.
    void a_draw_with_a_lost_response_is_not_spent_twice()
    {
        fleet_site site;
        site.add_server("i-1", "llm", three_events);
        wait_ready(site);
        site.store.loses_responses = true;
        static_cast<void>(site.send(fleet_site::prompt("/chat/1", 30'000, 20)));
        site.store.loses_responses = false;
        auto const served = served_of(site, 12);
        CPPUNIT_ASSERT(served <= 9);
        CPPUNIT_ASSERT(served >= 6);
    }

    // A router restarts after a crash, reads its configuration and loses the
    // store. Guards against reporting readiness after 1.5 s without any budget:
    // the balancer would send it callers, and it would reject them all.
    void a_router_that_read_no_budget_is_not_ready()
    {
        fleet_site site;
        site.store.silent_prefix = "budget/";
        site.add_server("i-1", "llm", three_events);
        auto const until =
            std::chrono::steady_clock::now() + std::chrono::milliseconds{2'500};
        CPPUNIT_ASSERT(site.run_until(
            [&] { return std::chrono::steady_clock::now() > until; }));
        CPPUNIT_ASSERT_EQUAL(503, site.readiness());
        site.store.silent_prefix.clear();
        wait_ready(site);
    }

    // A machine is stopped for maintenance. Guards against an open request that
    // is truncated, and against a balancer that sends new ones.
    void a_planned_stop_finishes_open_requests()
    {
        fleet_site site;
        site.add_server("i-1", "llm",
                        [&site](request const& got)
                        {
                            site.router->stop();
                            return three_events(got);
                        });
        wait_ready(site);
        auto const got = site.send(fleet_site::prompt("/chat/1", 500, 20));
        CPPUNIT_ASSERT(got.complete);
        CPPUNIT_ASSERT(got.head.find("Connection: close") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(503, site.readiness());
        CPPUNIT_ASSERT(site.run_until([&] { return site.router->stopped(); }));
        CPPUNIT_ASSERT(site.store.router_row("share/vm-1-1/taller").empty());
    }

    // A router is stopped during a store outage and waits to return its shares,
    // while the balancer still sends it callers. Guards against closing their
    // connections without a response: the caller of an order could not tell
    // whether it ran.
    void a_stopping_router_responds_to_new_requests()
    {
        fleet_site site;
        site.add_server("i-1", "llm", three_events);
        wait_ready(site);
        // From now on the router holds a share that it has to return.
        CPPUNIT_ASSERT_EQUAL(
            200, site.send(fleet_site::prompt("/chat/1", 500, 20)).status);
        site.store.reachable = false;
        site.router->stop();
        auto const closing =
            std::chrono::steady_clock::now() + std::chrono::milliseconds{3'300};
        CPPUNIT_ASSERT(site.run_until(
            [&] { return std::chrono::steady_clock::now() > closing; }));
        CPPUNIT_ASSERT(!site.router->stopped());
        auto const got = site.send(fleet_site::prompt("/chat/1", 500, 20));
        CPPUNIT_ASSERT(got.complete);
        CPPUNIT_ASSERT(got.status == 200 || got.status == 503);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_stream_test);
