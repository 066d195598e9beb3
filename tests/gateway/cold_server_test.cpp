#include "gateway/fleet_site.hpp"
#include "gateway/silent_address.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
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
    CPPUNIT_TEST(retries_count);
    CPPUNIT_TEST(a_relay_connects_to_no_cold_server);
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
        site.wait_ready();
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
        // Either server may be the one that is preferred.
        for (std::string const turning : {"i-1", "i-2"})
        {
            fleet_site site;
            time_points warm;
            time_points cold;
            auto& turns = site.add_server(turning, "app", note_in(cold));
            site.add_server(turning == "i-1" ? "i-2" : "i-1", "app",
                            note_in(warm));
            site.wait_ready();
            site.warm_up_left = duration{30'000};
            site.list_server(turning, "app", turns.address());
            site.run_for(duration{20});
            for (int i = 0; i < 20; ++i)
            {
                CPPUNIT_ASSERT_EQUAL(200, read(site).status);
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cold.size());
        }
    }

    // Guards against ignoring the time in a response until the store has it.
    void a_server_that_says_so_in_a_response_counts_as_cold()
    {
        fleet_site site;
        time_points cold;
        time_points warm;
        site.add_server("i-1", "app", note_in(cold, "Warmup-Ms: 30000\r\n"));
        site.wait_ready();
        CPPUNIT_ASSERT_EQUAL(200, read(site).status);
        site.add_server("i-2", "app", note_in(warm));
        site.run_for(duration{20});
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
        site.wait_ready();
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
        site.wait_ready();
        auto const got = read(site);
        CPPUNIT_ASSERT_EQUAL(503, got.status);
        auto const at = got.head.find("Retry-After: ");
        CPPUNIT_ASSERT(at != std::string::npos);
        auto const seconds = std::stod(got.head.substr(at + 13));
        CPPUNIT_ASSERT_MESSAGE(got.head, seconds > 5 && seconds < 10);
    }

    // Guards against retries that skip the check of the first attempt.
    void retries_count()
    {
        fleet_site site;
        time_points cold;
        site.add_server("i-1", "app",
                        [](fake_server::request const& got) {
                            return script{{complete_response(got, 500, "no")}};
                        });
        site.warm_up_left = duration{30'000};
        site.add_server("i-2", "app", note_in(cold));
        site.wait_ready();
        for (int i = 0; i < 20; ++i)
        {
            read(site);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cold.size());
    }

    // Guards against a router that is cut off, does not know that a server is
    // cold, and reaches it through one that does.
    void a_relay_connects_to_no_cold_server()
    {
        fleet_site relay;
        time_points cold;
        relay.warm_up_left = duration{30'000};
        relay.add_server("i-1", "app", note_in(cold));
        relay.add_server("i-2", "app", note_in(cold));
        fleet_site unaware{relay};
        silent_address const silent{unaware.loop};
        unaware.list_server("i-1", "app", silent.text());
        auto const run_both = [&](std::function<bool()> const& until)
        {
            CPPUNIT_ASSERT(unaware.run_until(
                [&]
                {
                    relay.loop.run_for(std::chrono::milliseconds{1});
                    return until();
                }));
        };
        run_both(
            [&]
            { return unaware.readiness() == 200 && relay.readiness() == 200; });
        auto const caller =
            unaware.begin(fleet_site::request("GET", "/read/1"));
        run_both([&] { return caller->has_input(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cold.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cold_server_test);
