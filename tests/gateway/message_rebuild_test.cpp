#include "gateway/fleet_site.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace caperpath;
using namespace caperpath::gateway;

/// Messages are parsed and written anew on their way.
class message_rebuild_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(message_rebuild_test);
    CPPUNIT_TEST(a_method_without_a_known_name_reaches_the_server);
    CPPUNIT_TEST_SUITE_END();

    using request = fake_server::request;

    static script respond_done(request const& got)
    {
        return {{complete_response(got, 200, "done")}};
    }

    // Guards against a request whose method was changed on its way.
    void a_method_without_a_known_name_reaches_the_server()
    {
        fleet_site site;
        auto& server = site.add_server("i-1", "app", respond_done);
        site.wait_ready();
        for (auto const* const method :
             {"POST", "QUERY", "PROPFIND", "post", "X-TRY", "M-SEARCH"})
        {
            auto const got =
                site.send(fleet_site::request(method, "/order/1", "", "parts"));
            CPPUNIT_ASSERT_EQUAL(200, got.status);
            auto const sent = server.requests.back().method_string();
            CPPUNIT_ASSERT_EQUAL(std::string{method},
                                 std::string(sent.data(), sent.size()));
            CPPUNIT_ASSERT_EQUAL(std::string{"parts"},
                                 server.requests.back().body());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(message_rebuild_test);
