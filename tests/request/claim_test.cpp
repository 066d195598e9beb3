#include "request/claim_world.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <iostream>

using namespace caperpath;
using namespace caperpath::tests;

class claim_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(claim_test);
    CPPUNIT_TEST(a_row_survives_its_text);
    CPPUNIT_TEST(holds_in_any_order_of_steps);
    CPPUNIT_TEST(two_hundred_and_fifty_mixed_schedules);
    CPPUNIT_TEST_SUITE_END();

    // A service answers bytes that are not text. A caller that asks again would
    // get something else than the first one if a row changed them.
    void a_row_survives_its_text()
    {
        bool const held = rc::check(
            "decode(encode(row)) == row",
            [](std::string const& body, std::uint64_t epoch, bool idempotent)
            {
                request::claim_row row;
                row.state = request::claim_state::done;
                row.epoch = epoch;
                row.holder = {"r1"};
                row.ticket = "r1-1";
                row.body_hash = "abc";
                row.idempotent = idempotent;
                row.answer = {200, "text/plain", body};
                RC_ASSERT(request::decode_claim(request::encode(row)).value() ==
                          row);
            });
        CPPUNIT_ASSERT(held);
    }

    // Two to four routers get the same few requests while calls of the table
    // fail, lose their answers or land late, routers crash, services lose
    // answers and callers leave. A client would get two batteries, two bills or
    // another verdict than the one before, or wait for ever.
    void holds_in_any_order_of_steps()
    {
        bool const held =
            rc::check("one request, one outcome",
                      []
                      {
                          world_settings given;
                          given.seed = *rc::gen::arbitrary<std::uint64_t>();
                          given.routers = *rc::gen::inRange(2, 5);
                          given.keys = *rc::gen::inRange(1, 4);
                          given.calls = *rc::gen::inRange(2, 14);
                          given.crash_percent = *rc::gen::inRange(0, 8);
                          given.store_fault_percent = *rc::gen::inRange(0, 50);
                          given.lost_answer_percent = *rc::gen::inRange(0, 40);
                          given.caller_leaves_percent =
                              *rc::gen::inRange(0, 40);
                          claim_world world{given};
                          RC_ASSERT(world.run() == "");
                      });
        CPPUNIT_ASSERT(held);
    }

    // The same as one fixed list of schedules, with the totals that users ask
    // for: orders executed a key, and bills against answers.
    void two_hundred_and_fifty_mixed_schedules()
    {
        constexpr std::uint64_t schedules = 250;
        std::int64_t executions = 0;
        std::int64_t most_executions = 0;
        std::int64_t answered = 0;
        std::int64_t bills = 0;
        std::int64_t lost = 0;
        int crashes = 0;
        for (std::uint64_t seed = 1; seed <= schedules; ++seed)
        {
            world_settings given;
            given.seed = seed;
            given.keys = 4;
            given.calls = 16;
            claim_world world{given};
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed),
                                         std::string{}, world.run());
            crashes += world.crashes();
            for (auto const& [key, record] : world.records())
            {
                if (!record.idempotent)
                {
                    executions += record.executions;
                    most_executions = std::max<std::int64_t>(most_executions,
                                                             record.executions);
                }
                answered += record.kept ? 1 : 0;
                bills += record.kept ? record.billed : 0;
                lost += record.kept ? record.owed - record.billed : 0;
            }
        }
        std::cout << "\nschedules=" << schedules << " crashes=" << crashes
                  << " orders_executed=" << executions
                  << " most_per_key=" << most_executions
                  << " answers_kept=" << answered << " billed=" << bills
                  << " lost_with_their_router=" << lost << '\n';
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, most_executions);
        CPPUNIT_ASSERT(crashes > 0);
        CPPUNIT_ASSERT_EQUAL(answered * claim_world::price, bills + lost);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claim_test);
