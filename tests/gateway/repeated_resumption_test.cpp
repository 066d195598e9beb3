#include "gateway/resumption_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

using namespace caperpath;
using namespace caperpath::gateway;

/// Streams that are resumed while versions leave and return, and more than
/// once.
class repeated_resumption_test : public resumption_fixture
{
    CPPUNIT_TEST_SUITE(repeated_resumption_test);
    CPPUNIT_TEST(a_stream_that_breaks_off_again_goes_on_at_its_version);
    CPPUNIT_TEST(a_stream_goes_on_when_its_version_returns);
    CPPUNIT_TEST(a_stream_goes_on_after_a_kill_without_the_store);
    CPPUNIT_TEST_SUITE_END();

    /// A server that sends the head of a response and nothing else.
    void add_silent(fleet_site& site, std::string const& id,
                    std::string const& version)
    {
        site.add_server(
            id, "llm",
            [this, version](request const& got)
            {
                if (got.find("Last-Event-Id") != got.end())
                {
                    this->resumed[version] += 1;
                }
                return script{{stream_head(got)}, script::ending::silent};
            },
            version);
    }

    // Guards against a resumption that is recorded as a stream of its own.
    void a_stream_that_breaks_off_again_goes_on_at_its_version()
    {
        auto site = std::make_unique<fleet_site>();
        this->add(*site, "i-1", "v1");
        this->add(*site, "i-2", "v2");
        site->wait_ready();
        auto const began = this->begin(*site, "r1");
        this->leave(*site);
        site = fleet_site::after_crash(std::move(site));
        this->add_silent(*site, "i-3", "v1");
        this->add_silent(*site, "i-4", "v2");
        site->wait_ready();
        this->caller = site->begin(resumable_prompt("r2", "r1"));
        CPPUNIT_ASSERT(
            site->run_until([&] { return this->resumed[began] == 1; }));
        site->run_for(duration{300});
        site = this->restart(std::move(site), {{"i-5", "v1"}, {"i-6", "v2"}});
        this->resumed.clear();
        CPPUNIT_ASSERT_EQUAL(200,
                             site->send(resumable_prompt("r3", "r1")).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->resumed.size());
        CPPUNIT_ASSERT_EQUAL(1, this->resumed[began]);
    }

    // Guards against the version that served in between.
    void a_stream_goes_on_when_its_version_returns()
    {
        auto site = std::make_unique<fleet_site>();
        this->add(*site, "i-1", "v1");
        site->wait_ready();
        CPPUNIT_ASSERT_EQUAL(std::string{"v1"}, this->begin(*site, "r1"));
        this->add(*site, "i-2", "v2");
        site->run_for(duration{400});
        site->store.put("servers", "i-1", std::nullopt);
        site = this->restart(std::move(site), {{"i-2", "v2"}});
        CPPUNIT_ASSERT_EQUAL(503,
                             site->send(resumable_prompt("r2", "r1")).status);
        site = this->restart(std::move(site), {{"i-2", "v2"}, {"i-3", "v1"}});
        CPPUNIT_ASSERT_EQUAL(200,
                             site->send(resumable_prompt("r3", "r1")).status);
        CPPUNIT_ASSERT_EQUAL(1, this->resumed["v1"]);
        CPPUNIT_ASSERT_EQUAL(0, this->resumed["v2"]);
    }

    // Guards against guessing, or waiting for ever, when the store is away at
    // the moment of the kill.
    void a_stream_goes_on_after_a_kill_without_the_store()
    {
        auto site = std::make_unique<fleet_site>();
        this->add(*site, "i-1", "v1");
        this->add(*site, "i-2", "v2");
        site->wait_ready();
        auto const began = this->begin(*site, "r1");
        site->store.reachable = false;
        this->leave(*site);
        site = fleet_site::after_crash(std::move(site));
        site->store.reachable = false;
        site->run_for(duration{500});
        CPPUNIT_ASSERT_EQUAL(503,
                             site->send(resumable_prompt("r2", "r1")).status);
        site->store.reachable = true;
        this->add(*site, "i-3", "v1");
        this->add(*site, "i-4", "v2");
        site->wait_ready();
        CPPUNIT_ASSERT_EQUAL(200,
                             site->send(resumable_prompt("r3", "r1")).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->resumed.size());
        CPPUNIT_ASSERT_EQUAL(1, this->resumed[began]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(repeated_resumption_test);
