#include "gateway/fleet_site.hpp"
#include "gateway/unreachable_server.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

using namespace caperpath;
using namespace caperpath::gateway;

/// Requests that may run again by their kind, at servers that acknowledge
/// nothing for a while.
class silent_retry_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(silent_retry_test);
    CPPUNIT_TEST(a_request_leaves_a_silent_server_for_another_one);
    CPPUNIT_TEST(a_request_without_another_server_outlasts_the_silence);
    CPPUNIT_TEST(a_last_attempt_outlasts_the_silence);
    CPPUNIT_TEST(a_request_beyond_the_limit_on_retries_outlasts_the_silence);
    CPPUNIT_TEST(requests_that_share_the_last_retry_are_all_served);
    CPPUNIT_TEST(a_request_outlasts_the_silence_of_all_paths);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::chrono::milliseconds silence{5'000};
    static constexpr std::chrono::minutes endless{1};

    /// A site whose requests have 30 s.
    struct patient_site : fleet_site
    {
        explicit patient_site(fleet::retry_limit retries = {10, 50, {10'000}})
            : fleet_site{true, retries}
        {
            this->route_timeout = duration{30'000};
            this->put_configuration(2);
        }
    };

    static std::string read_request()
    {
        auto text = fleet_site::request("GET", "/read/1");
        std::string const usual{"Deadline-Ms: 1500"};
        return text.replace(text.find(usual), usual.size(),
                            "Deadline-Ms: 30000");
    }

    /// Sends `count` requests at once and returns the number of those that get
    /// the whole response of an `unreachable_server`.
    static std::size_t count_served(fleet_site& site, std::size_t count)
    {
        using parser = boost::beast::http::response_parser<
            boost::beast::http::string_body>;
        std::vector<connection_ptr> callers;
        std::vector<parser> responses(count);
        for (auto& each : responses)
        {
            each.eager(true);
            callers.push_back(site.begin(read_request()));
        }
        auto const is_over = [&](std::size_t i)
        {
            auto& input = callers[i]->input();
            boost::system::error_code fault;
            input.consume(input.size() > 0 && !responses[i].is_done()
                              ? responses[i].put(input.data(), fault)
                              : 0);
            callers[i]->resume();
            return responses[i].is_done() ||
                   callers[i]->end() != peer_end::open;
        };
        CPPUNIT_ASSERT(site.run_until(
            [&]
            {
                auto over = true;
                for (std::size_t i = 0; i < count; ++i)
                {
                    over = is_over(i) && over;
                }
                return over;
            }));
        return static_cast<std::size_t>(std::count_if(
            responses.begin(), responses.end(),
            [](parser const& each)
            {
                return each.is_done() && each.get().result_int() == 200 &&
                       each.get().body() == unreachable_server::body({});
            }));
    }

    /// The servers `i-1` and `i-2` of "app".
    struct two_servers
    {
        two_servers(fleet_site& site, std::chrono::milliseconds pause,
                    unreachable_plan& plan)
            : first{site.loop, pause, plan}, second{site.loop, pause, plan}
        {
            site.list_server("i-1", "app", this->first.address());
            site.list_server("i-2", "app", this->second.address());
            site.wait_ready();
        }

        int requests() const
        {
            return this->first.requests + this->second.requests;
        }

        unreachable_server first;
        unreachable_server second;
    };

    // Guards against requests that wait until their deadline for a server whose
    // machine is gone, although another server could respond.
    void a_request_leaves_a_silent_server_for_another_one()
    {
        unreachable_plan plan;
        plan.silences = 1;
        patient_site site;
        two_servers const servers{site, endless, plan};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_served(site, 1));
        CPPUNIT_ASSERT_EQUAL(2, servers.requests());
    }

    // Guards against a request that is given up for the silence of the only
    // server, though nothing else can respond to it.
    void a_request_without_another_server_outlasts_the_silence()
    {
        unreachable_plan plan;
        patient_site site;
        unreachable_server server{site.loop, silence, plan};
        site.list_server("i-1", "app", server.address());
        site.wait_ready();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_served(site, 1));
        CPPUNIT_ASSERT_EQUAL(1, server.requests);
    }

    // Guards against a request that is lost because its last attempt ends for
    // the silence of a live server.
    void a_last_attempt_outlasts_the_silence()
    {
        unreachable_plan plan;
        plan.resets = 1;
        patient_site site;
        unreachable_server third{site.loop, silence, plan};
        site.list_server("i-3", "app", third.address());
        two_servers const servers{site, silence, plan};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_served(site, 1));
        CPPUNIT_ASSERT_EQUAL(2, servers.requests() + third.requests);
    }

    // Guards against a request that is given up for the silence of its server,
    // and that the limit on retries then keeps from another one.
    void a_request_beyond_the_limit_on_retries_outlasts_the_silence()
    {
        unreachable_plan plan;
        patient_site site{{0, 0, {10'000}}};
        two_servers const servers{site, silence, plan};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_served(site, 1));
        CPPUNIT_ASSERT_EQUAL(1, servers.requests());
    }

    // The limit allows one retry. Guards against several requests that are
    // given up for it at the same time, of which all but one are lost.
    void requests_that_share_the_last_retry_are_all_served()
    {
        constexpr int count = 4;
        constexpr std::chrono::milliseconds longer_silence{6'000};
        unreachable_plan plan;
        plan.silences = count;
        patient_site site{{0.7, 0, {10'000}}};
        two_servers const servers{site, longer_silence, plan};
        CPPUNIT_ASSERT_EQUAL(std::size_t{count}, count_served(site, count));
        CPPUNIT_ASSERT_EQUAL(count + 1, servers.requests());
    }

    // The router's own link is silent. Guards against a request that is given
    // up for another server which cannot be reached either.
    void a_request_outlasts_the_silence_of_all_paths()
    {
        unreachable_plan plan;
        patient_site site;
        two_servers servers{site, silence, plan};
        auto const caller = site.begin(read_request());
        CPPUNIT_ASSERT(site.run_until([&] { return servers.requests() > 0; }));
        auto& other =
            servers.first.requests > 0 ? servers.second : servers.first;
        other.drop_connects();
        auto const text = [&]
        {
            auto const bytes = caller->input().data();
            return std::string{static_cast<char const*>(bytes.data()),
                               bytes.size()};
        };
        auto const is_whole = [&]
        {
            return text().ends_with(unreachable_server::body(plan));
        };
        CPPUNIT_ASSERT(site.run_until(
            [&] { return is_whole() || caller->end() != peer_end::open; }));
        CPPUNIT_ASSERT(is_whole());
        CPPUNIT_ASSERT_EQUAL(1, servers.requests());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(silent_retry_test);
