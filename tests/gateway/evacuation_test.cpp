#include "gateway/fleet_site.hpp"
#include "gateway/silent_address.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <functional>
#include <string>

using namespace caperpath;
using namespace caperpath::gateway;

/// Failure domains whose servers the operators have evacuated.
class evacuation_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(evacuation_test);
    CPPUNIT_TEST(an_evacuated_server_gets_no_requests);
    CPPUNIT_TEST(a_request_that_waits_is_not_sent);
    CPPUNIT_TEST(a_retry_does_not_go_to_an_evacuated_server);
    CPPUNIT_TEST(a_service_without_other_servers_is_rejected_at_once);
    CPPUNIT_TEST(an_evacuation_lasts_while_the_store_is_lost);
    CPPUNIT_TEST(a_router_that_starts_knows_evacuations);
    CPPUNIT_TEST(the_latest_of_several_changes_counts);
    CPPUNIT_TEST(servers_that_are_given_back_count_as_cold);
    CPPUNIT_TEST(a_relay_connects_to_no_evacuated_server);
    CPPUNIT_TEST_SUITE_END();

    static fake_server::responder done()
    {
        return [](fake_server::request const& got)
        {
            return script{{complete_response(got, 200, "done")}};
        };
    }

    static void evacuate(fleet_site& site, std::string const& domain)
    {
        site.store.put("op", "evacuate/" + domain, "{}");
        site.run_for(duration{20});
    }

    static void give_back(fleet_site& site, std::string const& domain)
    {
        site.store.put("op", "evacuate/" + domain, std::nullopt);
        site.run_for(duration{20});
    }

    static received_response read(fleet_site& site)
    {
        return site.send(fleet_site::request("GET", "/read/1"));
    }

    // Guards against routers that do not follow evacuations. Either server may
    // be the one that is preferred.
    void an_evacuated_server_gets_no_requests()
    {
        for (std::string const leaving : {"i-1", "i-2"})
        {
            fleet_site site;
            site.failure_domain = "z-other";
            auto& leaves = site.add_server(leaving, "app", done());
            site.failure_domain = "z";
            auto& stays = site.add_server(leaving == "i-1" ? "i-2" : "i-1",
                                          "app", done());
            site.wait_ready();
            evacuate(site, "z-other");
            constexpr std::size_t requests = 20;
            for (std::size_t i = 0; i < requests; ++i)
            {
                CPPUNIT_ASSERT_EQUAL(200, read(site).status);
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, leaves.requests.size());
            CPPUNIT_ASSERT_EQUAL(requests, stays.requests.size());
        }
    }

    // Guards against a server chosen before the evacuation and sent to after:
    // requests to one that limits them wait up to 200 ms here.
    void a_request_that_waits_is_not_sent()
    {
        fleet_site site;
        auto& server = site.add_server(
            "i-1", "app",
            [](fake_server::request const& got)
            {
                return script{{complete_response(got, 200, "done",
                                                 "Server-Limit: 10.0\r\n")}};
            });
        site.wait_ready();
        CPPUNIT_ASSERT_EQUAL(200, read(site).status);
        auto const caller = site.begin(fleet_site::request("GET", "/read/1"));
        site.run_for(duration{20});
        evacuate(site, "z");
        CPPUNIT_ASSERT(site.run_until([&] { return caller->has_input(); }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.requests.size());
    }

    // Guards against retries that skip the check of the first attempt.
    void a_retry_does_not_go_to_an_evacuated_server()
    {
        fleet_site site;
        site.failure_domain = "z-other";
        auto& leaves = site.add_server("i-1", "app", done());
        site.wait_ready();
        site.failure_domain = "z";
        site.add_server("i-2", "app",
                        [](fake_server::request const& got) {
                            return script{{complete_response(got, 500, "no")}};
                        });
        evacuate(site, "z-other");
        read(site);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, leaves.requests.size());
    }

    // Guards against callers that wait for servers that get no requests.
    void a_service_without_other_servers_is_rejected_at_once()
    {
        fleet_site site;
        auto& server = site.add_server("i-1", "app", done());
        site.wait_ready();
        evacuate(site, "z");
        auto const got = read(site);
        CPPUNIT_ASSERT_EQUAL(503, got.status);
        CPPUNIT_ASSERT(got.head.find("Retry-After") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.requests.size());
    }

    // Guards against an outage of the store that ends an evacuation.
    void an_evacuation_lasts_while_the_store_is_lost()
    {
        fleet_site site;
        auto& server = site.add_server("i-1", "app", done());
        site.wait_ready();
        evacuate(site, "z");
        site.store.reachable = false;
        site.run_for(duration{1'500});
        CPPUNIT_ASSERT_EQUAL(503, read(site).status);
        site.store.reachable = true;
        site.run_for(duration{1'500});
        CPPUNIT_ASSERT_EQUAL(503, read(site).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.requests.size());
    }

    // Guards against a router that takes callers before it has read of them.
    void a_router_that_starts_knows_evacuations()
    {
        auto site = std::make_unique<fleet_site>();
        site->add_server("i-1", "app", done());
        site->wait_ready();
        evacuate(*site, "z");
        auto const next = fleet_site::after_crash(std::move(site));
        auto& server = next->add_server("i-1", "app", done());
        auto got = read(*next);
        for (auto i = 0; i < 20 && next->readiness() != 200; ++i)
        {
            got = read(*next);
            CPPUNIT_ASSERT_EQUAL(503, got.status);
        }
        CPPUNIT_ASSERT_EQUAL(503, read(*next).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.requests.size());
    }

    // Guards against a row that was deleted and written again within one page.
    void the_latest_of_several_changes_counts()
    {
        fleet_site site;
        auto& server = site.add_server("i-1", "app", done());
        site.wait_ready();
        site.store.put("op", "evacuate/z", "{}");
        site.store.put("op", "evacuate/z", std::nullopt);
        site.store.put("op", "evacuate/z", "{}");
        site.run_for(duration{20});
        CPPUNIT_ASSERT_EQUAL(503, read(site).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.requests.size());
    }

    // Guards against a burst to servers that became cold in the evacuation.
    void servers_that_are_given_back_count_as_cold()
    {
        fleet_site site;
        site.add_server("i-1", "app", done());
        site.failure_domain = "z-other";
        auto& back = site.add_server("i-2", "app", done());
        site.wait_ready();
        evacuate(site, "z-other");
        give_back(site, "z-other");
        constexpr int requests = 20;
        for (int i = 0; i < requests; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(200, read(site).status);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, back.requests.size());
        site.run_for(duration{1'600});
        evacuate(site, "z");
        CPPUNIT_ASSERT_EQUAL(200, read(site).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, back.requests.size());
    }

    // Guards against a router that learns of an evacuation late and reaches the
    // servers through one that knows of it.
    void a_relay_connects_to_no_evacuated_server()
    {
        fleet_site relay;
        auto& server = relay.add_server("i-1", "app", done());
        relay.add_server("i-2", "app", done());
        fleet_site late{relay};
        silent_address const silent{late.loop};
        late.list_server("i-1", "app", silent.text());
        relay.store.put("op", "evacuate/z", "{}");
        auto const run_both = [&](std::function<bool()> const& until)
        {
            CPPUNIT_ASSERT(late.run_until(
                [&]
                {
                    relay.loop.run_for(std::chrono::milliseconds{1});
                    return until();
                }));
        };
        run_both(
            [&]
            { return late.readiness() == 200 && relay.readiness() == 200; });
        auto const caller = late.begin(fleet_site::request("GET", "/read/1"));
        run_both([&] { return caller->has_input(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.requests.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(evacuation_test);
