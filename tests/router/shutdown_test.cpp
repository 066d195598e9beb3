#include "router/caller.hpp"
#include "router/site.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <future>
#include <thread>

using namespace caperpath;
using namespace caperpath::tests;

/// Each request that was read has its answer when a planned stop is over, and
/// nothing keeps the stop beyond its drain bound.
class shutdown_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(shutdown_test);
    CPPUNIT_TEST(what_ends_within_the_drain_bound_is_whole);
    CPPUNIT_TEST(a_service_call_open_at_the_drain_bound_is_answered);
    CPPUNIT_TEST(a_chat_open_at_the_drain_bound_is_answered);
    CPPUNIT_TEST(a_stream_open_at_the_drain_bound_does_not_look_whole);
    CPPUNIT_TEST_SUITE_END();

    static constexpr duration short_drain{100};
    static constexpr duration long_timeout{20'000};

    template <typename Condition>
    static void wait_until(Condition const& holds)
    {
        constexpr int most_tries = 1'000;
        for (int tries = 0; !holds(); ++tries)
        {
            CPPUNIT_ASSERT(tries < most_tries);
            std::this_thread::sleep_for(std::chrono::milliseconds{10});
        }
    }

    static std::string code_of(reply const& got)
    {
        return got.body.is_object() ? got.body["error"].value("code", "") : "";
    }

    // An engine whose answer takes longer than any drain here.
    static stand_in::engine_settings slow_engine()
    {
        auto engine = site::fast_engine();
        engine.token_time = {50};
        return engine;
    }

    static bool runs_one(site const& here)
    {
        return here.engine_stats(0)["runs"].size() +
                   here.engine_stats(1)["runs"].size() >
               0;
    }

    // Guards against answers that end after the stop has begun and are not
    // written.
    void what_ends_within_the_drain_bound_is_whole()
    {
        for (bool const stream : {false, true})
        {
            site here{1, slow_engine()};
            std::string const prompt = "a plan [tokens=10]";
            auto open =
                std::async(std::launch::async,
                           [&]
                           {
                               return chat(here.router_address(0), here.key(),
                                           prompt, {.stream = stream});
                           });
            wait_until([&] { return runs_one(here); });
            here.stop_router(0);
            auto const got = open.get();
            CPPUNIT_ASSERT_EQUAL(200, got.status);
            CPPUNIT_ASSERT_EQUAL(expected_text(prompt), got.text);
            CPPUNIT_ASSERT_EQUAL(stream, got.done);
        }
    }

    // Guards against a service call that holds the stop until the request's
    // own deadline, when the process has been killed and the caller has
    // nothing.
    void a_service_call_open_at_the_drain_bound_is_answered()
    {
        site here{1, site::fast_engine(), long_timeout, {short_drain}};
        site::post_fault(here.service_address(),
                         {{"kind", "silent"}, {"count", 1}});
        auto open = std::async(
            std::launch::async,
            [&] { return order(here.router_address(0), here.key(), "k"); });
        wait_until([&] { return here.executions() == 1; });
        here.stop_router(0);
        auto const got = open.get();
        CPPUNIT_ASSERT_EQUAL(504, got.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, got.outcome);
        CPPUNIT_ASSERT_EQUAL(std::string{"router_stops"}, code_of(got));
    }

    // Guards against a chat that is told that its own time is over when it is
    // the router that ends.
    void a_chat_open_at_the_drain_bound_is_answered()
    {
        site here{1, slow_engine(), long_timeout, {short_drain}};
        auto open =
            std::async(std::launch::async,
                       [&]
                       {
                           return chat(here.router_address(0), here.key(),
                                       "a long plan [tokens=300]");
                       });
        wait_until([&] { return runs_one(here); });
        here.stop_router(0);
        auto const got = open.get();
        CPPUNIT_ASSERT_EQUAL(504, got.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, got.outcome);
        CPPUNIT_ASSERT_EQUAL(std::string{"router_stops"}, code_of(got));
    }

    // Guards against a part of a stream that its reader takes for the whole.
    void a_stream_open_at_the_drain_bound_does_not_look_whole()
    {
        site here{1, slow_engine(), long_timeout, {short_drain}};
        auto open = std::async(
            std::launch::async,
            [&]
            {
                return chat(here.router_address(0), here.key(),
                            "a long plan [tokens=300]", {.stream = true});
            });
        wait_until([&] { return runs_one(here); });
        here.stop_router(0);
        auto const got = open.get();
        CPPUNIT_ASSERT(!got.done);
        CPPUNIT_ASSERT(got.finish_reason.empty());
        CPPUNIT_ASSERT(got.status != 200 || got.stream_error == "router_stops");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shutdown_test);
