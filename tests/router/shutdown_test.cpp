#include "router/caller.hpp"
#include "router/site.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <future>
#include <thread>

using namespace caperpath;
using namespace caperpath::tests;

/// Every request that was read gets a response before a planned stop ends, and
/// no request delays the stop beyond its drain bound.
class shutdown_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(shutdown_test);
    CPPUNIT_TEST(responses_within_the_drain_bound_are_complete);
    CPPUNIT_TEST(service_call_open_at_the_drain_bound_gets_an_error);
    CPPUNIT_TEST(chat_open_at_the_drain_bound_gets_an_error);
    CPPUNIT_TEST(stream_open_at_the_drain_bound_is_not_complete);
    CPPUNIT_TEST_SUITE_END();

    static constexpr duration short_drain{100};
    static constexpr duration long_timeout{20'000};

    template <typename Condition>
    static void wait_until(Condition const& holds)
    {
        constexpr int max_polls = 1'000;
        for (int polls = 0; !holds(); ++polls)
        {
            CPPUNIT_ASSERT(polls < max_polls);
            std::this_thread::sleep_for(std::chrono::milliseconds{10});
        }
    }

    static std::string code_of(reply const& got)
    {
        return got.body.is_object() ? got.body["error"].value("code", "") : "";
    }

    // An engine whose responses take longer than `short_drain`.
    static stand_in::engine_settings slow_engine()
    {
        auto engine = site::fast_engine();
        engine.token_time = {50};
        return engine;
    }

    static bool has_run(site const& here)
    {
        return here.engine_stats(0)["runs"].size() +
                   here.engine_stats(1)["runs"].size() >
               0;
    }

    // Guards against responses that end after the stop has begun and are not
    // sent.
    void responses_within_the_drain_bound_are_complete()
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
            wait_until([&] { return has_run(here); });
            here.stop_router(0);
            auto const got = open.get();
            CPPUNIT_ASSERT_EQUAL(200, got.status);
            CPPUNIT_ASSERT_EQUAL(expected_text(prompt), got.text);
            CPPUNIT_ASSERT_EQUAL(stream, got.done);
        }
    }

    // Guards against a service call that delays the stop until the request's
    // own deadline: the process would be killed before the caller got a
    // response.
    void service_call_open_at_the_drain_bound_gets_an_error()
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

    // Guards against reporting the request's own deadline when the cause is the
    // router's stop.
    void chat_open_at_the_drain_bound_gets_an_error()
    {
        site here{1, slow_engine(), long_timeout, {short_drain}};
        auto open =
            std::async(std::launch::async,
                       [&]
                       {
                           return chat(here.router_address(0), here.key(),
                                       "a long plan [tokens=300]");
                       });
        wait_until([&] { return has_run(here); });
        here.stop_router(0);
        auto const got = open.get();
        CPPUNIT_ASSERT_EQUAL(504, got.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, got.outcome);
        CPPUNIT_ASSERT_EQUAL(std::string{"router_stops"}, code_of(got));
    }

    // Guards against an incomplete stream that looks complete to its reader.
    void stream_open_at_the_drain_bound_is_not_complete()
    {
        site here{1, slow_engine(), long_timeout, {short_drain}};
        auto open = std::async(
            std::launch::async,
            [&]
            {
                return chat(here.router_address(0), here.key(),
                            "a long plan [tokens=300]", {.stream = true});
            });
        wait_until([&] { return has_run(here); });
        here.stop_router(0);
        auto const got = open.get();
        CPPUNIT_ASSERT(!got.done);
        CPPUNIT_ASSERT(got.finish_reason.empty());
        CPPUNIT_ASSERT(got.status != 200 || got.stream_error == "router_stops");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shutdown_test);
