#include "router/caller.hpp"
#include "router/site.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <future>
#include <thread>

using namespace caperpath;
using namespace caperpath::tests;

/// Each request that was read has its answer when a planned stop is over.
class shutdown_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(shutdown_test);
    CPPUNIT_TEST(what_ends_within_the_drain_bound_is_whole);
    CPPUNIT_TEST_SUITE_END();

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

    // An engine whose answer lasts longer than the start of a stop.
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(shutdown_test);
