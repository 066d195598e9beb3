#include "fleet/cold_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <string>

using namespace caperpath;
using namespace caperpath::fleet;

/// Fleets of 8, 65 and 300 routers keep the bound on cold servers, summed over
/// all routers.
class cold_fleet_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(cold_fleet_test);
    CPPUNIT_TEST(a_failure_domain_comes_back_cold_beside_a_burst);
    CPPUNIT_TEST(servers_turn_cold_at_any_moment);
    CPPUNIT_TEST(routers_that_are_cut_off_do_not_know);
    CPPUNIT_TEST(all_servers_are_cold);
    CPPUNIT_TEST_SUITE_END();

    static constexpr cold_fleet_size sizes[] = {
        {8, 36, 150}, {65, 112, 500}, {300, 153, 700}};
    static constexpr std::uint64_t seeds = 2;

    static void for_all(
        bool bounded,
        std::function<void(cold_fleet&, cold_fleet_size const&)> const& play)
    {
        for (auto const& size : sizes)
        {
            for (std::uint64_t seed = 1; seed <= seeds; ++seed)
            {
                cold_fleet fleet{size, bounded, seed};
                play(fleet, size);
            }
        }
    }

    static void assert_bound(cold_fleet const& fleet,
                             cold_fleet_size const& size)
    {
        auto const most =
            most_cold_sends(cold_fleet::limit, cold_fleet::tolerance);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(size.routers) + " routers: " +
                                   std::to_string(fleet.busiest_cold_second()) +
                                   " of " + std::to_string(most),
                               fleet.busiest_cold_second() <= most);
    }

    static void return_domains(cold_fleet& fleet)
    {
        fleet.run(instant{1'000});
        fleet.stop_domain(0);
        fleet.run(instant{2'500});
        fleet.burst = 3;
        fleet.hot_share = 0.28;
        fleet.return_domain_cold(0);
        fleet.choose_hot_prompt(0);
        fleet.run(instant{6'500});
    }

    // Guards against routers that all find the same empty servers at once.
    void a_failure_domain_comes_back_cold_beside_a_burst()
    {
        for_all(true,
                [](cold_fleet& fleet, cold_fleet_size const& size)
                {
                    return_domains(fleet);
                    assert_bound(fleet, size);
                    // Two thirds of the servers have room for all.
                    CPPUNIT_ASSERT(fleet.rejected * 1'000 <= fleet.served);
                });
        // The load does exceed the bound if routers do not keep it.
        cold_fleet unbounded{sizes[1], false, 1};
        return_domains(unbounded);
        CPPUNIT_ASSERT_MESSAGE(
            std::to_string(unbounded.busiest_cold_second()),
            unbounded.busiest_cold_second() >
                most_cold_sends(cold_fleet::limit, cold_fleet::tolerance));
    }

    // Guards against routers that hear only of starts.
    void servers_turn_cold_at_any_moment()
    {
        for_all(true,
                [](cold_fleet& fleet, cold_fleet_size const& size)
                {
                    constexpr int third = 3;
                    for (int i = 0; i < size.servers; i += third)
                    {
                        fleet.run(fleet.now + duration{150});
                        fleet.turn_cold(i, duration{1'200});
                    }
                    fleet.run(fleet.now + duration{3'000});
                    assert_bound(fleet, size);
                });
    }

    // Guards against a bound that counts on what all routers have heard.
    void routers_that_are_cut_off_do_not_know()
    {
        for_all(true,
                [](cold_fleet& fleet, cold_fleet_size const& size)
                {
                    fleet.cut_routers(size.routers / 3);
                    return_domains(fleet);
                    for (int i = 0; i < size.servers; i += 2)
                    {
                        fleet.turn_cold(i, duration{0});
                    }
                    fleet.run(fleet.now + duration{3'000});
                    assert_bound(fleet, size);
                });
    }

    // Guards against a service that serves nobody while its servers are cold.
    void all_servers_are_cold()
    {
        for_all(true,
                [](cold_fleet& fleet, cold_fleet_size const& size)
                {
                    fleet.run(instant{500});
                    for (int i = 0; i < size.servers; ++i)
                    {
                        fleet.turn_cold(i, duration{0});
                    }
                    fleet.run(instant{1'200});
                    auto const before = fleet.served;
                    fleet.run(instant{3'200});
                    assert_bound(fleet, size);
                    CPPUNIT_ASSERT(fleet.served - before > size.servers);
                });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cold_fleet_test);
