#include "gateway/fleet_site.hpp"
#include "gateway/silent_address.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <vector>

using namespace caperpath;
using namespace caperpath::gateway;

class uplink_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(uplink_test);
    CPPUNIT_TEST(a_router_with_a_full_uplink_leaves_the_rotation);
    CPPUNIT_TEST(a_router_whose_servers_are_silent_stays_in_rotation);
    CPPUNIT_TEST(a_router_without_the_store_stays_in_rotation);
    CPPUNIT_TEST_SUITE_END();

    /// A site whose callers send requests all the time.
    struct scenario
    {
        fleet_site site;
        silent_address first{site.loop};
        silent_address second{site.loop};
        std::vector<connection_ptr> callers;
        std::int64_t version{1};
        bool store_changes{false};

        void list_silent_servers()
        {
            this->list("i-1", this->first.text());
            this->list("i-2", this->second.text());
        }

        void list(std::string const& id, std::string const& address)
        {
            this->site.store.put(
                "servers", id,
                R"({"backend":"app","address":")" + address +
                    R"(","zone":"z","batch-slots":4,"state":"healthy"})");
        }

        /// Sends requests until the readiness endpoint returns `status`; false
        /// if it does not within `timeout`.
        bool reaches_readiness(int status, std::chrono::milliseconds timeout)
        {
            auto const end = std::chrono::steady_clock::now() + timeout;
            while (std::chrono::steady_clock::now() < end)
            {
                this->send_request();
                if (this->site.readiness() == status)
                {
                    return true;
                }
            }
            return false;
        }

        void send_request()
        {
            constexpr std::size_t max_open = 40;
            if (this->callers.size() == max_open)
            {
                this->callers.front()->close();
                this->callers.erase(this->callers.begin());
            }
            this->callers.push_back(
                this->site.begin(fleet_site::request("GET", "/read/1")));
            if (this->store_changes)
            {
                this->version += 1;
                this->site.put_configuration(this->version);
            }
            this->site.loop.run_for(std::chrono::milliseconds{20});
        }
    };

    static constexpr std::chrono::milliseconds change_timeout{10'000};
    static constexpr std::chrono::milliseconds observation_time{3'000};

    // Callers fill a router's uplink. Guards against a router that stays in
    // rotation although its configuration is stale and it can reach none of its
    // servers.
    void a_router_with_a_full_uplink_leaves_the_rotation()
    {
        scenario here;
        CPPUNIT_ASSERT(here.reaches_readiness(200, change_timeout));
        here.list_silent_servers();
        here.store_changes = true;
        here.send_request();
        here.store_changes = false;
        here.site.store.reachable = false;
        CPPUNIT_ASSERT(here.reaches_readiness(503, change_timeout));

        here.site.store.reachable = true;
        here.store_changes = true;
        CPPUNIT_ASSERT(here.reaches_readiness(200, change_timeout));
    }

    // Guards against mistaking servers that are down for a full uplink.
    void a_router_whose_servers_are_silent_stays_in_rotation()
    {
        scenario here;
        here.list_silent_servers();
        here.store_changes = true;
        CPPUNIT_ASSERT(here.reaches_readiness(200, change_timeout));
        CPPUNIT_ASSERT(!here.reaches_readiness(503, observation_time));
    }

    // Guards against a fleet that leaves the rotation when the store is down.
    void a_router_without_the_store_stays_in_rotation()
    {
        scenario here;
        auto const respond_done = [](fake_server::request const& got)
        {
            return script{{complete_response(got, 200, "done")}};
        };
        here.site.add_server("i-1", "app", respond_done);
        CPPUNIT_ASSERT(here.reaches_readiness(200, change_timeout));
        here.site.store.reachable = false;
        CPPUNIT_ASSERT(!here.reaches_readiness(503, observation_time));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(uplink_test);
