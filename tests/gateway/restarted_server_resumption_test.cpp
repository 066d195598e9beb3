#include "gateway/resumption_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

using namespace caperpath;
using namespace caperpath::gateway;

/// Streams that are resumed after their server has started again under its id
/// at another version.
class restarted_server_resumption_test : public resumption_fixture
{
    CPPUNIT_TEST_SUITE(restarted_server_resumption_test);
    CPPUNIT_TEST(an_old_row_of_a_restarted_server_proves_nothing);
    CPPUNIT_TEST_SUITE_END();

    // A server starts again under its id, its entry tells its new version late,
    // and the router is killed before it has corrected its row.
    void an_old_row_of_a_restarted_server_proves_nothing()
    {
        auto site = std::make_unique<fleet_site>();
        this->add(*site, "i-1", "v1");
        this->add(*site, "i-2", "v2");
        site->wait_ready();
        auto const at_first = this->begin(*site, "r1") == "v1";
        std::string const server = at_first ? "i-1" : "i-2";
        std::string const next = at_first ? "v2" : "v1";
        site->store.rejected_prefix = "streams/";
        site->list_server(server, "llm", "127.0.0.1:1", next);
        site->run_for(duration{300});
        site = this->restart(std::move(site),
                             {{server, next}, {"i-3", "v1"}, {"i-4", "v2"}});
        CPPUNIT_ASSERT_EQUAL(503,
                             site->send(resumable_prompt("r2", "r1")).status);
        CPPUNIT_ASSERT(this->resumed.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(restarted_server_resumption_test);
