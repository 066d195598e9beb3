#include "gateway/fleet_site.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace caperpath;
using namespace caperpath::gateway;

class heartbeat_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(heartbeat_test);
    CPPUNIT_TEST(each_router_has_a_heartbeat_row_of_its_own);
    CPPUNIT_TEST_SUITE_END();

    // All routers wrote their heartbeats under one empty name. Each of them
    // took itself for the only one, and used the whole fleet's limit of
    // repeats: nine routers may send nine times as many repeats to servers that
    // fail.
    void each_router_has_a_heartbeat_row_of_its_own()
    {
        fleet_site here;
        CPPUNIT_ASSERT(here.run_until(
            [&] { return !here.store.own("router/vm-1-1/fleet").empty(); }));
        CPPUNIT_ASSERT(here.store.own("router//fleet").empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(heartbeat_test);
