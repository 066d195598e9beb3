#include "gateway/fleet_site.hpp"
#include "gateway/silent_address.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>

using namespace caperpath;
using namespace caperpath::gateway;

/// Routes whose requests may be processed in some regions only. The router and
/// failure domain `z` are in "near".
class gateway_residency_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(gateway_residency_test);
    CPPUNIT_TEST(requests_stay_in_their_regions);
    CPPUNIT_TEST(a_request_without_servers_in_its_regions_is_rejected);
    CPPUNIT_TEST(a_bound_request_passes_through_no_other_router);
    CPPUNIT_TEST_SUITE_END();

    static fake_server::responder done()
    {
        return [](fake_server::request const& got)
        {
            return script{{complete_response(got, 200, "done")}};
        };
    }

    static void bind_to(fleet_site& site, std::string const& regions)
    {
        site.allowed_regions = regions;
        site.put_configuration(2);
        site.wait_ready();
    }

    // Guards against placement that ignores the regions of a route.
    void requests_stay_in_their_regions()
    {
        fleet_site site;
        auto& near = site.add_server("i-1", "app", done());
        site.failure_domain = "z-far";
        auto& far = site.add_server("i-2", "app", done());
        site.failure_domain = "z-farther";
        auto& farther = site.add_server("i-3", "app", done());
        site.failure_domain = "z-unknown";
        auto& unknown = site.add_server("i-4", "app", done());
        bind_to(site, R"(["far"])");
        constexpr std::size_t requests = 20;
        for (std::size_t i = 0; i < requests; ++i)
        {
            auto const got = site.send(fleet_site::request("GET", "/read/1"));
            CPPUNIT_ASSERT_EQUAL(200, got.status);
        }
        CPPUNIT_ASSERT_EQUAL(requests, far.requests.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, near.requests.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, farther.requests.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, unknown.requests.size());
    }

    // Guards against sending a request abroad rather than not at all.
    void a_request_without_servers_in_its_regions_is_rejected()
    {
        fleet_site site;
        auto& near = site.add_server("i-1", "app", done());
        bind_to(site, R"(["far"])");
        auto const got = site.send(fleet_site::request("GET", "/read/1"));
        CPPUNIT_ASSERT_EQUAL(503, got.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, near.requests.size());
    }

    // Guards against a relay in another region that sees the request.
    void a_bound_request_passes_through_no_other_router()
    {
        fleet_site relay;
        auto& server = relay.add_server("i-1", "app", done());
        relay.add_server("i-2", "app", done());
        fleet_site bound{relay};
        silent_address const silent{bound.loop};
        bound.list_server("i-1", "app", silent.text());
        bound.allowed_regions = R"(["near"])";
        bound.put_configuration(2);
        auto const run_both = [&](std::function<bool()> const& until)
        {
            CPPUNIT_ASSERT(bound.run_until(
                [&]
                {
                    relay.loop.run_for(std::chrono::milliseconds{1});
                    return until();
                }));
        };
        run_both(
            [&]
            { return bound.readiness() == 200 && relay.readiness() == 200; });
        auto const caller = bound.begin(fleet_site::request("GET", "/read/1"));
        run_both([&] { return caller->has_input(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.requests.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_residency_test);
