#include "gateway/fleet_site.hpp"
#include "gateway/lossy_link.hpp"

#include <boost/beast/core/buffers_to_string.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

using namespace caperpath;
using namespace caperpath::gateway;

/// Requests that another router relays, while no packets come through for a
/// while.
class relay_silence_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(relay_silence_test);
    CPPUNIT_TEST(a_relayed_request_outlasts_silence_between_the_routers);
    CPPUNIT_TEST(a_relayed_request_outlasts_silence_of_its_server);
    CPPUNIT_TEST(a_relayed_request_leaves_a_silent_relay_for_another_server);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::chrono::milliseconds silence{4'000};
    /// Servers respond when the silence is over.
    static constexpr std::chrono::milliseconds service_time{5'000};
    static constexpr duration time_limit{30'000};

    /// Two routers. Only `reaching` has a path to the server `i-1`, and the
    /// paths on the way of a relayed request can lose packets.
    struct scenario
    {
        scenario()
        {
            this->plan.drops_packets = false;
            for (auto* const site : {&this->reaching, &this->cut_off})
            {
                site->route_timeout = time_limit;
                site->put_configuration(2);
            }
            this->reaching.list_server("i-1", "app", this->to_server.address());
            this->cut_off.list_server("i-1", "app", this->refusing.address());
            CPPUNIT_ASSERT(this->cut_off.run_until(
                [&] { return this->cut_off.readiness() == 200; }));
            CPPUNIT_ASSERT(this->reaching.run_until(
                [&] { return this->reaching.readiness() == 200; }));
        }

        void run_both(std::function<bool()> const& done)
        {
            CPPUNIT_ASSERT(this->cut_off.run_until(
                [&]
                {
                    this->reaching.loop.run_for(std::chrono::milliseconds{1});
                    return done();
                }));
        }

        void wait(std::chrono::milliseconds time)
        {
            auto const until = std::chrono::steady_clock::now() + time;
            this->run_both(
                [until] { return std::chrono::steady_clock::now() > until; });
        }

        /// Begins a request and loses packets of `link` for a while once the
        /// server has it.
        connection_ptr begin(std::string text, lossy_link& link)
        {
            std::string const usual{"Deadline-Ms: 1500"};
            text.replace(text.find(usual), usual.size(),
                         "Deadline-Ms: " + std::to_string(time_limit.ms));
            auto caller = this->cut_off.begin(text);
            this->run_both([this] { return this->server.requests == 1; });
            this->wait(std::chrono::milliseconds{50});
            link.drop();
            return caller;
        }

        /// Waits for a response and returns its first line with its body.
        received_response finish(connection_ptr const& caller)
        {
            boost::beast::http::response_parser<boost::beast::http::string_body>
                parser;
            parser.eager(true);
            this->run_both(
                [&]
                {
                    boost::system::error_code fault;
                    auto& input = caller->input();
                    input.consume(
                        input.size() > 0 ? parser.put(input.data(), fault) : 0);
                    caller->resume();
                    return parser.is_done() || caller->end() != peer_end::open;
                });
            received_response got;
            read_parsed(parser, got);
            return got;
        }

        unreachable_plan plan;
        reserved_port refusing;
        fleet_site reaching;
        unreachable_server server{this->reaching.loop, service_time,
                                  this->plan};
        lossy_link to_server{this->reaching.loop, this->server.address()};
        lossy_link to_relay{this->reaching.loop, this->reaching.peer_address()};
        fleet_site cut_off{this->to_relay.address()};
    };

    static void check_outlasts(scenario& all, lossy_link& link)
    {
        auto const caller =
            all.begin(fleet_site::request("POST", "/order/1"), link);
        all.wait(silence);
        link.restore();
        auto const got = all.finish(caller);
        CPPUNIT_ASSERT_EQUAL(200, got.status);
        CPPUNIT_ASSERT_EQUAL(unreachable_server::body(all.plan), got.body);
        CPPUNIT_ASSERT_EQUAL(1, all.server.requests);
    }

    // Guards against a request that is lost because the path to the router that
    // relays it loses all packets for a while.
    void a_relayed_request_outlasts_silence_between_the_routers()
    {
        scenario all;
        check_outlasts(all, all.to_relay);
    }

    // The same between the relay and the server.
    void a_relayed_request_outlasts_silence_of_its_server()
    {
        scenario all;
        check_outlasts(all, all.to_server);
    }

    // Guards against a request that waits until its deadline for a silent
    // relay, although another server could respond.
    void a_relayed_request_leaves_a_silent_relay_for_another_server()
    {
        scenario all;
        auto const caller =
            all.begin(fleet_site::request("GET", "/read/1"), all.to_relay);
        auto& other = all.cut_off.add_server(
            "i-2", "app",
            [](fake_server::request const& got)
            { return script{{complete_response(got, 200, "other")}}; });
        auto const got = all.finish(caller);
        CPPUNIT_ASSERT_EQUAL(std::string{"other"}, got.body);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, other.requests.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_silence_test);
