#include "gateway/fleet_site.hpp"
#include "gateway/run_after.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

using namespace caperpath;
using namespace caperpath::gateway;

/// Servers that warm up after a start take a low rate of requests, four a
/// second here, from all routers together.
class cold_server_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(cold_server_test);
    CPPUNIT_TEST(a_cold_server_gets_nothing_while_a_warm_one_has_room);
    CPPUNIT_TEST(a_server_that_turns_cold_gets_nothing_more);
    CPPUNIT_TEST(a_server_that_says_so_in_a_response_counts_as_cold);
    CPPUNIT_TEST(a_service_of_cold_servers_keeps_their_bound);
    CPPUNIT_TEST(a_rejection_says_when_a_server_is_warm);
    CPPUNIT_TEST_SUITE_END();

    using time_points = std::vector<time_point>;
    static constexpr duration warm_up{1'500};

    static fake_server::responder note_in(time_points& arrivals,
                                          std::string const& headers = "")
    {
        return [&arrivals, headers](fake_server::request const& got)
        {
            arrivals.push_back(std::chrono::steady_clock::now());
            return script{{complete_response(got, 200, "done", headers)}};
        };
    }

    static void wait_ready(fleet_site& site)
    {
        CPPUNIT_ASSERT(site.run_until([&] { return site.readiness() == 200; }));
    }

    static void run_for(fleet_site& site, duration span)
    {
        auto const end = std::chrono::steady_clock::now() + to_chrono(span);
        CPPUNIT_ASSERT(site.run_until(
            [end] { return std::chrono::steady_clock::now() >= end; }));
    }

    static std::size_t busiest_second(time_points const& arrivals)
    {
        std::ptrdiff_t most = 0;
        for (auto const from : arrivals)
        {
            auto const until = from + std::chrono::seconds{1};
            most = std::max(
                most, std::count_if(arrivals.begin(), arrivals.end(),
                                    [from, until](time_point at)
                                    { return at >= from && at <= until; }));
        }
        return static_cast<std::size_t>(most);
    }

    static received_response read(fleet_site& site)
    {
        return site.send(fleet_site::request("GET", "/read/1"));
    }

    // Guards against routers that all find the same empty server at once.
    void a_cold_server_gets_nothing_while_a_warm_one_has_room()
    {
        fleet_site site;
        time_points warm;
        time_points cold;
        site.add_server("i-1", "app", note_in(warm));
        site.warm_up_left = duration{30'000};
        site.add_server("i-2", "app", note_in(cold));
        wait_ready(site);
        constexpr std::size_t requests = 20;
        for (std::size_t i = 0; i < requests; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(200, read(site).status);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cold.size());
        CPPUNIT_ASSERT_EQUAL(requests, warm.size());
    }

    // Guards against a router that reads only at a start whether a server is
    // cold.
    void a_server_that_turns_cold_gets_nothing_more()
    {
        fleet_site site;
        time_points first;
        time_points second;
        site.add_server("i-1", "app", note_in(first));
        auto& turns = site.add_server("i-2", "app", note_in(second));
        wait_ready(site);
        site.warm_up_left = duration{30'000};
        site.list_server("i-2", "app", turns.address());
        run_for(site, duration{20});
        for (int i = 0; i < 20; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(200, read(site).status);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, second.size());
    }

    // Guards against waiting for the store to tell what a server has told.
    void a_server_that_says_so_in_a_response_counts_as_cold()
    {
        fleet_site site;
        time_points cold;
        time_points warm;
        site.add_server("i-1", "app", note_in(cold, "Warmup-Ms: 30000\r\n"));
        wait_ready(site);
        CPPUNIT_ASSERT_EQUAL(200, read(site).status);
        site.add_server("i-2", "app", note_in(warm));
        run_for(site, duration{20});
        for (int i = 0; i < 20; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(200, read(site).status);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cold.size());
    }

    // Guards against a crash of the only servers, and against a service that
    // serves nobody although its servers take some requests.
    void a_service_of_cold_servers_keeps_their_bound()
    {
        fleet_site site;
        time_points arrivals;
        site.warm_up_left = duration{30'000};
        site.add_server("i-1", "app", note_in(arrivals));
        wait_ready(site);
        auto const begin = std::chrono::steady_clock::now();
        auto served = 0;
        // The second read of the heartbeat rows comes after some seconds.
        while (std::chrono::steady_clock::now() - begin <
               std::chrono::seconds{8})
        {
            served += read(site).status == 200 ? 1 : 0;
        }
        CPPUNIT_ASSERT(served > 0);
        CPPUNIT_ASSERT(busiest_second(arrivals) <= 4);
    }

    // Guards against callers that come back while the servers are cold still.
    void a_rejection_says_when_a_server_is_warm()
    {
        fleet_site site;
        time_points arrivals;
        site.warm_up_left = duration{9'000};
        site.add_server("i-1", "app", note_in(arrivals));
        wait_ready(site);
        auto const got = read(site);
        CPPUNIT_ASSERT_EQUAL(503, got.status);
        auto const at = got.head.find("Retry-After: ");
        CPPUNIT_ASSERT(at != std::string::npos);
        auto const seconds = std::stod(got.head.substr(at + 13));
        CPPUNIT_ASSERT_MESSAGE(got.head, seconds > 5 && seconds < 10);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cold_server_test);
