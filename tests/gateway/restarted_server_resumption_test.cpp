#include "gateway/resumption_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
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
    CPPUNIT_TEST(a_stream_that_broke_off_before_the_entry_told_is_rejected);
    CPPUNIT_TEST(an_inherited_row_of_a_restarted_server_is_corrected);
    CPPUNIT_TEST_SUITE_END();

    /// True if the store has the version in the row of a service.
    static bool has_version(fleet_site const& site, std::string const& version)
    {
        auto const rows = site.store.router_rows("versions/");
        return std::any_of(
            rows.begin(), rows.end(),
            [&version](auto const& row)
            { return row.second.find(version) != std::string::npos; });
    }

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

    // The router itself has the record, and the request is not open any more.
    void a_stream_that_broke_off_before_the_entry_told_is_rejected()
    {
        fleet_site site;
        this->add(site, "i-1", "v1");
        this->add(site, "i-2", "v2");
        site.wait_ready();
        auto const at_first = this->begin(site, "r1") == "v1";
        this->leave(site);
        site.list_server(at_first ? "i-1" : "i-2", "llm", "127.0.0.1:1",
                         at_first ? "v2" : "v1");
        for (auto const* const version : {"v1", "v2", "v3"})
        {
            this->add(site, std::string{"new-"} + version, version);
        }
        // Entries are read in order, so it has read the first as well.
        CPPUNIT_ASSERT(site.run_until([&] { return has_version(site, "v3"); }));
        CPPUNIT_ASSERT_EQUAL(503,
                             site.send(resumable_prompt("r2", "r1")).status);
        CPPUNIT_ASSERT(this->resumed.empty());
    }

    // A router takes the row over, sees the server change, and is killed after
    // the server has left.
    void an_inherited_row_of_a_restarted_server_is_corrected()
    {
        auto site = std::make_unique<fleet_site>();
        this->add(*site, "i-1", "v1");
        this->add(*site, "i-2", "v2");
        site->wait_ready();
        auto const at_first = this->begin(*site, "r1") == "v1";
        std::string const server = at_first ? "i-1" : "i-2";
        std::string const next = at_first ? "v2" : "v1";
        site = this->restart(std::move(site), {{"i-1", "v1"}, {"i-2", "v2"}});
        auto const rows = site->store.router_rows("streams/");
        site->list_server(server, "llm", "127.0.0.1:1", next);
        CPPUNIT_ASSERT(site->run_until(
            [&] { return site->store.router_rows("streams/") != rows; }));
        site->store.put("servers", server, std::nullopt);
        site = this->restart(std::move(site), {{"i-3", "v1"}, {"i-4", "v2"}});
        CPPUNIT_ASSERT_EQUAL(503,
                             site->send(resumable_prompt("r2", "r1")).status);
        CPPUNIT_ASSERT(this->resumed.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(restarted_server_resumption_test);
