#include <caperpath/fleet/readiness.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace caperpath;
using namespace caperpath::fleet;

class readiness_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(readiness_test);
    CPPUNIT_TEST(all_known_is_ready);
    CPPUNIT_TEST(unread_crashes_hold_it_back);
    CPPUNIT_TEST(unread_crashes_do_not_keep_a_fleet_out);
    CPPUNIT_TEST(an_outage_does_not_wait_for_crashes);
    CPPUNIT_TEST(missing_shares_hold_it_back_for_a_while);
    CPPUNIT_TEST(no_budget_is_never_ready);
    CPPUNIT_TEST_SUITE_END();

    static start_progress all_known()
    {
        return {true, true, true, true, duration{0}};
    }

    void all_known_is_ready()
    {
        CPPUNIT_ASSERT(may_take_callers(all_known()));
    }

    // Guards against a router that gets callers, and crashes a server, before
    // it has read what the others know.
    void unread_crashes_hold_it_back()
    {
        auto known = all_known();
        known.knows_crashes = false;
        CPPUNIT_ASSERT(!may_take_callers(known));
        known.since_configuration = duration{2'000};
        CPPUNIT_ASSERT(!may_take_callers(known));
    }

    // Guards against a fleet that stays out of rotation because these rows
    // alone cannot be read.
    void unread_crashes_do_not_keep_a_fleet_out()
    {
        auto known = all_known();
        known.knows_crashes = false;
        known.since_configuration = duration{3'000};
        CPPUNIT_ASSERT(may_take_callers(known));
    }

    // Guards against a start that waits for a store that is away.
    void an_outage_does_not_wait_for_crashes()
    {
        auto known = all_known();
        known.knows_crashes = false;
        known.store_reachable = false;
        CPPUNIT_ASSERT(may_take_callers(known));
    }

    // Guards against a router that refuses customers whose shares come late,
    // and against one that serves nobody because of one of them.
    void missing_shares_hold_it_back_for_a_while()
    {
        auto known = all_known();
        known.has_shares = false;
        CPPUNIT_ASSERT(!may_take_callers(known));
        known.since_configuration = duration{1'500};
        CPPUNIT_ASSERT(may_take_callers(known));
    }

    // Guards against a router that takes callers whom only others can serve.
    void no_budget_is_never_ready()
    {
        auto known = all_known();
        known.knows_a_budget = false;
        known.since_configuration = duration{60'000};
        CPPUNIT_ASSERT(!may_take_callers(known));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(readiness_test);
