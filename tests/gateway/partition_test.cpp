#include "gateway/fleet_site.hpp"
#include "gateway/silent_address.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace caperpath;
using namespace caperpath::gateway;

class partition_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(partition_test);
    CPPUNIT_TEST(a_router_whose_servers_are_silent_serves_its_callers);
    CPPUNIT_TEST(a_router_whose_servers_refuse_serves_its_callers);
    CPPUNIT_TEST_SUITE_END();

    /// Two routers. Both list the server `i-1`, but only `reaching` has a path
    /// to it.
    struct scenario
    {
        explicit scenario(std::string const& unreachable)
            : server{&this->reaching.add_server(
                  "i-1", "app",
                  [](fake_server::request const& got)
                  { return script{{complete_response(got, 200, "done")}}; })}
        {
            this->cut_off.list_server("i-1", "app", unreachable);
            CPPUNIT_ASSERT(this->cut_off.run_until(
                [&] { return this->cut_off.readiness() == 200; }));
            CPPUNIT_ASSERT(this->reaching.run_until(
                [&] { return this->reaching.readiness() == 200; }));
        }

        /// Sends a request to the router without a path, while both run.
        received_response send(std::string const& bytes)
        {
            received_response got;
            auto const caller = this->cut_off.begin(bytes);
            boost::beast::http::response_parser<boost::beast::http::string_body>
                parser;
            parser.eager(true);
            this->cut_off.run_until(
                [&]
                {
                    this->reaching.loop.run_for(std::chrono::milliseconds{1});
                    boost::system::error_code fault;
                    auto& input = caller->input();
                    input.consume(
                        input.size() > 0 ? parser.put(input.data(), fault) : 0);
                    return parser.is_done() || caller->end() != peer_end::open;
                });
            read_parsed(parser, got);
            caller->close();
            return got;
        }

        fleet_site reaching;
        fleet_site cut_off{this->reaching};
        fake_server* server{};
    };

    static std::string refusing_address()
    {
        asio::io_context loop;
        tcp::acceptor const closed{loop,
                                   {asio::ip::make_address("127.0.0.1"), 0}};
        return "127.0.0.1:" + std::to_string(closed.local_endpoint().port());
    }

    // Guards against rejecting the callers of a router that is partitioned from
    // its servers while other routers reach them.
    void a_router_whose_servers_are_silent_serves_its_callers()
    {
        asio::io_context loop;
        silent_address const silent{loop};
        scenario all{silent.text()};
        auto const got =
            all.send(fleet_site::request("POST", "/order/1", "", "once"));
        CPPUNIT_ASSERT_EQUAL(200, got.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, got.body);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, all.server->requests.size());
    }

    // The same if its connects are refused, as by a firewall.
    void a_router_whose_servers_refuse_serves_its_callers()
    {
        scenario all{refusing_address()};
        auto const got =
            all.send(fleet_site::request("POST", "/order/1", "", "once"));
        CPPUNIT_ASSERT_EQUAL(200, got.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, all.server->requests.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(partition_test);
