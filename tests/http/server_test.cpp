#include "http/server.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace caperpath;

class server_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_test);
    CPPUNIT_TEST(an_address_is_bound_once);
    CPPUNIT_TEST(a_large_answer_is_not_compressed);
    CPPUNIT_TEST_SUITE_END();

    // A second router is started on a VM by mistake while the first one runs.
    // If both could listen on the port, the second would take the first for
    // dead and hand its share of a budget to others while it is still spent.
    void an_address_is_bound_once()
    {
        http::server first;
        int const port = first.start("127.0.0.1:0");
        CPPUNIT_ASSERT(port > 0);
        http::server second;
        CPPUNIT_ASSERT_EQUAL(-1,
                             second.bind("127.0.0.1:" + std::to_string(port)));
    }

    // Ordinary clients say that they take compressed answers. Compressing one
    // of 200 KB took 208 ms of processor time, which every other caller waits.
    void a_large_answer_is_not_compressed()
    {
        http::server server;
        std::string const body(200'000, 'x');
        server.Get("/",
                   [&](httplib::Request const&, httplib::Response& response)
                   { http::set_body(response, body, "application/json"); });
        int const port = server.start("127.0.0.1:0");
        httplib::Client client{"127.0.0.1", port};
        client.set_decompress(false);
        auto const answer =
            client.Get("/", {{"Accept-Encoding", "br, gzip, deflate"}});
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(std::string{},
                             answer->get_header_value("Content-Encoding"));
        CPPUNIT_ASSERT(answer->body == body);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_test);
