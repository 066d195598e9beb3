#include <caperpath/fleet/readiness.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace caperpath;
using namespace caperpath::fleet;

class readiness_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(readiness_test);
    CPPUNIT_TEST(all_known_is_ready);
    CPPUNIT_TEST(an_unread_crash_record_delays_readiness);
    CPPUNIT_TEST(an_unread_crash_record_does_not_block_readiness);
    CPPUNIT_TEST(an_outage_skips_the_wait_for_the_crash_record);
    CPPUNIT_TEST(missing_shares_delay_readiness);
    CPPUNIT_TEST(without_a_budget_never_ready);
    CPPUNIT_TEST_SUITE_END();

    static start_progress all_known()
    {
        return {true, true, true, true, duration{0}};
    }

    void all_known_is_ready()
    {
        CPPUNIT_ASSERT(may_take_callers(all_known()));
    }

    // Guards against a router that gets callers and crashes a server before it
    // has read the crash record.
    void an_unread_crash_record_delays_readiness()
    {
        auto known = all_known();
        known.knows_records = false;
        CPPUNIT_ASSERT(!may_take_callers(known));
        known.since_configuration = duration{2'000};
        CPPUNIT_ASSERT(!may_take_callers(known));
    }

    // Guards against a fleet that stays out of rotation only because the crash
    // record cannot be read.
    void an_unread_crash_record_does_not_block_readiness()
    {
        auto known = all_known();
        known.knows_records = false;
        known.since_configuration = duration{3'000};
        CPPUNIT_ASSERT(may_take_callers(known));
    }

    // Guards against a start that waits for an unavailable store.
    void an_outage_skips_the_wait_for_the_crash_record()
    {
        auto known = all_known();
        known.knows_records = false;
        known.store_reachable = false;
        CPPUNIT_ASSERT(may_take_callers(known));
    }

    // Guards against a router that rejects customers whose shares arrive late,
    // and against one that serves nobody because one share is missing.
    void missing_shares_delay_readiness()
    {
        auto known = all_known();
        known.has_shares = false;
        CPPUNIT_ASSERT(!may_take_callers(known));
        known.since_configuration = duration{1'500};
        CPPUNIT_ASSERT(may_take_callers(known));
    }

    // Guards against a router that accepts callers that only others can serve.
    void without_a_budget_never_ready()
    {
        auto known = all_known();
        known.has_read_a_budget = false;
        known.since_configuration = duration{60'000};
        CPPUNIT_ASSERT(!may_take_callers(known));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(readiness_test);
