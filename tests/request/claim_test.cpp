#include "request/claim_simulation.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <iostream>

using namespace caperpath;
using namespace caperpath::tests;

class claim_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(claim_test);
    CPPUNIT_TEST(encoded_row_decodes_unchanged);
    CPPUNIT_TEST(invariants_hold_in_any_order_of_steps);
    CPPUNIT_TEST(invariants_hold_in_250_fixed_schedules);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a row that changes a response body that is not text: a
    // retry would get other bytes than the first caller.
    void encoded_row_decodes_unchanged()
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
                row.response = {200, "text/plain", body};
                RC_ASSERT(request::decode_claim(request::encode(row)).value() ==
                          row);
            });
        CPPUNIT_ASSERT(held);
    }

    // Two to four routers get the same few requests while table calls fail,
    // lose their responses or take effect late, routers crash, services lose
    // responses and callers disconnect. Guards against a request that runs or
    // is billed twice, whose outcome changes, or whose retry waits forever.
    void invariants_hold_in_any_order_of_steps()
    {
        bool const held = rc::check(
            "one request, one outcome",
            []
            {
                simulation_settings given;
                given.seed = *rc::gen::arbitrary<std::uint64_t>();
                given.routers = *rc::gen::inRange(2, 5);
                given.keys = *rc::gen::inRange(1, 4);
                given.calls = *rc::gen::inRange(2, 14);
                given.crash_percent = *rc::gen::inRange(0, 8);
                given.store_fault_percent = *rc::gen::inRange(0, 50);
                given.lost_response_percent = *rc::gen::inRange(0, 40);
                given.caller_disconnect_percent = *rc::gen::inRange(0, 40);
                claim_simulation simulation{given};
                RC_ASSERT(simulation.run() == "");
            });
        CPPUNIT_ASSERT(held);
    }

    // The same for a fixed list of schedules. Also checks two totals:
    // executions per key, and bills against stored responses.
    void invariants_hold_in_250_fixed_schedules()
    {
        constexpr std::uint64_t schedules = 250;
        std::int64_t executions = 0;
        std::int64_t max_executions = 0;
        std::int64_t stored = 0;
        std::int64_t bills = 0;
        std::int64_t lost_bills = 0;
        int crashes = 0;
        for (std::uint64_t seed = 1; seed <= schedules; ++seed)
        {
            simulation_settings given;
            given.seed = seed;
            given.keys = 4;
            given.calls = 16;
            claim_simulation simulation{given};
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed),
                                         std::string{}, simulation.run());
            crashes += simulation.crashes();
            for (auto const& [key, record] : simulation.records())
            {
                if (!record.idempotent)
                {
                    executions += record.executions;
                    max_executions = std::max<std::int64_t>(max_executions,
                                                            record.executions);
                }
                stored += record.response_stored ? 1 : 0;
                bills += record.response_stored ? record.billed : 0;
                lost_bills +=
                    record.response_stored ? record.owed - record.billed : 0;
            }
        }
        std::cout << "\nschedules=" << schedules << " crashes=" << crashes
                  << " orders_executed=" << executions
                  << " most_per_key=" << max_executions
                  << " answers_kept=" << stored << " billed=" << bills
                  << " lost_with_their_router=" << lost_bills << '\n';
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, max_executions);
        CPPUNIT_ASSERT(crashes > 0);
        CPPUNIT_ASSERT_EQUAL(stored * claim_simulation::price,
                             bills + lost_bills);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claim_test);
