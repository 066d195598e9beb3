#include "gateway/fleet_site.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <vector>

using namespace caperpath;
using namespace caperpath::gateway;

class own_link_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(own_link_test);
    CPPUNIT_TEST(a_router_that_hears_from_nobody_leaves_the_rotation);
    CPPUNIT_TEST(a_router_whose_servers_are_silent_stays_in_rotation);
    CPPUNIT_TEST(a_router_without_the_store_stays_in_rotation);
    CPPUNIT_TEST_SUITE_END();

    /// An address at which connects are neither accepted nor refused: its queue
    /// is full.
    struct silent_address
    {
        explicit silent_address(asio::io_context& loop) : acceptor{loop}
        {
            this->acceptor.open(tcp::v4());
            this->acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
            this->acceptor.listen(0);
            auto const to = this->acceptor.local_endpoint();
            constexpr int more_than_its_queue = 4;
            for (int i = 0; i < more_than_its_queue; ++i)
            {
                this->queue.emplace_back(loop);
                this->queue.back().async_connect(to, [](auto const&) {});
            }
        }

        std::string text() const
        {
            return "127.0.0.1:" +
                   std::to_string(this->acceptor.local_endpoint().port());
        }

        tcp::acceptor acceptor;
        std::vector<tcp::socket> queue;
    };

    /// A site in which callers ask all the time.
    struct world
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

        /// True once the balancer gets `status`, asked for at most `longest`.
        bool reaches(int status, std::chrono::milliseconds longest)
        {
            auto const end = std::chrono::steady_clock::now() + longest;
            while (std::chrono::steady_clock::now() < end)
            {
                this->ask();
                if (this->site.readiness() == status)
                {
                    return true;
                }
            }
            return false;
        }

        void ask()
        {
            constexpr std::size_t most_open = 40;
            if (this->callers.size() == most_open)
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

    static constexpr std::chrono::milliseconds long_enough{10'000};
    static constexpr std::chrono::milliseconds for_a_while{3'000};

    // Guards against callers who keep a router's link full, so that its
    // configuration is old and none of its servers can be reached.
    void a_router_that_hears_from_nobody_leaves_the_rotation()
    {
        world here;
        CPPUNIT_ASSERT(here.reaches(200, long_enough));
        here.list_silent_servers();
        here.store_changes = true;
        here.ask();
        here.store_changes = false;
        here.site.store.reachable = false;
        CPPUNIT_ASSERT(here.reaches(503, long_enough));

        here.site.store.reachable = true;
        here.store_changes = true;
        CPPUNIT_ASSERT(here.reaches(200, long_enough));
    }

    // Guards against taking servers that are down for a full link.
    void a_router_whose_servers_are_silent_stays_in_rotation()
    {
        world here;
        here.list_silent_servers();
        here.store_changes = true;
        CPPUNIT_ASSERT(here.reaches(200, long_enough));
        CPPUNIT_ASSERT(!here.reaches(503, for_a_while));
    }

    // Guards against a fleet that leaves the rotation when the store is down.
    void a_router_without_the_store_stays_in_rotation()
    {
        world here;
        auto const answers = [](fake_server::request const& got)
        {
            return script{{whole_answer(got, 200, "done")}};
        };
        here.site.add_server("i-1", "app", answers);
        CPPUNIT_ASSERT(here.reaches(200, long_enough));
        here.site.store.reachable = false;
        CPPUNIT_ASSERT(!here.reaches(503, for_a_while));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(own_link_test);
