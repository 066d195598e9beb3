#include "fleet/resume_plays.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

using namespace caperpath;
using namespace caperpath::fleet;

/// Simulated fleets whose servers start again under their ids at another
/// version, before all routers are killed.
class resume_in_place_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(resume_in_place_test);
    CPPUNIT_TEST(
        servers_that_start_again_under_their_ids_cost_resumptions_only);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int whole = 100;

    // Guards against streams that go on at the version which a server's entry
    // named before the server started again under its id, and against rejecting
    // those of other servers for it.
    void servers_that_start_again_under_their_ids_cost_resumptions_only()
    {
        for (auto const routers : {2, 8, 300})
        {
            auto without_servers = 0;
            for (auto const& rollout : rollouts())
            {
                auto const rows =
                    play_all(routers, rollout, resume_way::rows, 0, true);
                auto const versions =
                    play_all(routers, rollout, resume_way::versions, 0, true);
                std::cout << routers << " routers, in place, " << rows.streams
                          << " streams: rows " << rows.resumed << ", "
                          << rows.undisturbed_resumed << " of "
                          << rows.undisturbed << " undisturbed; versions "
                          << versions.resumed << ", "
                          << versions.at_another_version << " wrong, "
                          << versions.undisturbed_resumed << " of "
                          << versions.undisturbed << " undisturbed\n";
                CPPUNIT_ASSERT(rows.undisturbed > 0);
                CPPUNIT_ASSERT_EQUAL(0, rows.at_another_version);
                CPPUNIT_ASSERT_EQUAL(versions.undisturbed, rows.undisturbed);
                CPPUNIT_ASSERT(whole * rows.undisturbed_resumed >=
                               99 * versions.undisturbed_resumed);
                without_servers += versions.at_another_version;
            }
            CPPUNIT_ASSERT(without_servers > 0);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(resume_in_place_test);
