#include "gateway/fleet_site.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace caperpath;
using namespace caperpath::gateway;

class heartbeat_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(heartbeat_test);
    CPPUNIT_TEST(each_router_has_a_heartbeat_row_of_its_own);
    CPPUNIT_TEST(a_router_that_just_started_uses_no_retry_allowance);
    CPPUNIT_TEST_SUITE_END();

    // Guards against routers that all write their heartbeats to one row with an
    // empty name. Each would take itself for the only router and use the whole
    // fleet's retry limit: nine routers would send nine times as many retries
    // to failing servers.
    void each_router_has_a_heartbeat_row_of_its_own()
    {
        fleet_site site;
        CPPUNIT_ASSERT(site.run_until(
            [&]
            { return !site.store.router_row("router/vm-1-1/fleet").empty(); }));
        CPPUNIT_ASSERT(site.store.router_row("router//fleet").empty());
    }

    // A router starts while servers fail. It does not know yet how many routers
    // there are, nor what its predecessor sent in the same window. Guards
    // against an overloaded server that gets the retry allowance of the whole
    // fleet once more with each start.
    void a_router_that_just_started_uses_no_retry_allowance()
    {
        fleet_site site{true, {0, 50, {10'000}}};
        auto const respond_500 = [](fake_server::request const& got)
        {
            return script{{complete_response(got, 500, "failed")}};
        };
        auto& first = site.add_server("i-1", "app", respond_500);
        auto& second = site.add_server("i-2", "app", respond_500);
        CPPUNIT_ASSERT(site.run_until([&] { return site.readiness() == 200; }));
        CPPUNIT_ASSERT_EQUAL(
            500, site.send(fleet_site::request("GET", "/read/1")).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             first.requests.size() + second.requests.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(heartbeat_test);
