#include "gateway/fleet_site.hpp"
#include "platform/protocol_adapter.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <stdexcept>
#include <utility>

using namespace caperpath;
using namespace caperpath::gateway;

/// Rows of the store that make their reader throw, beside others.
class row_exception_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(row_exception_test);
    CPPUNIT_TEST(a_router_takes_requests_after_a_first_page_that_throws);
    CPPUNIT_TEST(a_server_that_throws_hides_no_other_of_a_change);
    CPPUNIT_TEST(a_server_that_throws_is_not_used);
    CPPUNIT_TEST(a_configuration_that_throws_hides_no_newer_one);
    CPPUNIT_TEST_SUITE_END();

    static constexpr char bad[] = "a-bad";

    static std::variant<fleet::server_entry, error>
    read_server_or_throw(std::string const& id, std::string const& text)
    {
        if (id == bad || text.find(R"("version":"bad")") != std::string::npos)
        {
            throw std::out_of_range{"a member of an entry"};
        }
        return platform::make_protocol_adapter().read_server(id, text);
    }

    static std::variant<fleet::site_parts, error>
    read_site_or_throw(std::string const& text)
    {
        if (text.find(R"("version":3,)") != std::string::npos)
        {
            throw std::out_of_range{"a member of version 3"};
        }
        return platform::make_protocol_adapter().read_site(text);
    }

    static protocol_adapter throwing_adapter()
    {
        auto adapter = platform::make_protocol_adapter();
        adapter.read_server = read_server_or_throw;
        adapter.read_site = read_site_or_throw;
        return adapter;
    }

    static script respond(fake_server::request const& got)
    {
        return script{{complete_response(got, 200, "ok")}};
    }

    static int read_status(fleet_site& site)
    {
        return site.send(fleet_site::request("GET", "/read/1")).status;
    }

    // Guards against a router that takes no requests after its start because of
    // one entry.
    void a_router_takes_requests_after_a_first_page_that_throws()
    {
        auto crashed = std::make_unique<fleet_site>(throwing_adapter());
        crashed->list_server(bad, "app", "127.0.0.1:1");
        auto const site = fleet_site::after_crash(std::move(crashed));
        site->wait_ready();
        site->add_server("b-good", "app", respond);
        CPPUNIT_ASSERT(
            site->run_until([&] { return read_status(*site) == 200; }));
    }

    // Guards against servers that are not used until the table is read anew.
    void a_server_that_throws_hides_no_other_of_a_change()
    {
        fleet_site site{throwing_adapter()};
        site.wait_ready();
        // The pending call for changes ends with both rows.
        site.store.reachable = false;
        site.list_server(bad, "app", "127.0.0.1:1");
        site.store.reachable = true;
        site.add_server("b-good", "app", respond);
        CPPUNIT_ASSERT(
            site.run_until([&] { return read_status(site) == 200; }));
    }

    // Guards against requests at a server whose new entry could not be read.
    void a_server_that_throws_is_not_used()
    {
        fleet_site site{throwing_adapter()};
        auto& server = site.add_server("b-good", "app", respond);
        site.wait_ready();
        CPPUNIT_ASSERT(
            site.run_until([&] { return read_status(site) == 200; }));
        site.list_server("b-good", "app", server.address(), "bad");
        CPPUNIT_ASSERT(
            site.run_until([&] { return read_status(site) != 200; }));
    }

    // Guards against a revoked key that stays in force because the page with
    // the newest configuration also has one that throws.
    void a_configuration_that_throws_hides_no_newer_one()
    {
        fleet_site site{throwing_adapter()};
        site.wait_ready();
        auto const too_long =
            fleet_site::request("POST", "/order/1", "", std::string(100, 'b'));
        // The pending call for changes ends with both versions.
        site.store.reachable = false;
        site.put_configuration(3);
        site.store.reachable = true;
        site.max_body_bytes = 10;
        site.put_configuration(4);
        CPPUNIT_ASSERT(
            site.run_until([&] { return site.send(too_long).status == 413; }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(row_exception_test);
