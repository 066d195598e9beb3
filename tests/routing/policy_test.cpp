#include <caperpath/config/codec.hpp>
#include <caperpath/routing/limits.hpp>
#include <caperpath/routing/policy.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace caperpath;
using namespace caperpath::routing;

class policy_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(policy_test);
    CPPUNIT_TEST(every_configured_name_has_a_policy);
    CPPUNIT_TEST(every_policy_returns_a_valid_index);
    CPPUNIT_TEST(least_outstanding_selects_a_minimum);
    CPPUNIT_TEST(failing_server_is_ejected_and_retried);
    CPPUNIT_TEST(limits_are_enforced_and_refill);
    CPPUNIT_TEST_SUITE_END();

    static std::vector<backend_view> generate_servers()
    {
        auto const loads =
            *rc::gen::nonEmpty(rc::gen::container<std::vector<std::int64_t>>(
                rc::gen::inRange<std::int64_t>(0, 50)));
        std::vector<backend_view> servers(loads.size());
        for (std::size_t i = 0; i < loads.size(); ++i)
        {
            servers[i].outstanding = loads[i];
        }
        return servers;
    }

    static std::vector<backend_view const*>
    pointers(std::vector<backend_view> const& servers)
    {
        std::vector<backend_view const*> all;
        all.reserve(servers.size());
        for (auto const& server : servers)
        {
            all.push_back(&server);
        }
        return all;
    }

    static choice_input generate_input()
    {
        return {{0},
                *rc::gen::arbitrary<std::uint64_t>(),
                *rc::gen::arbitrary<std::uint64_t>(),
                {"here"}};
    }

    // The configuration accepts a policy name that the router does not
    // implement: the router would silently fall back to another policy.
    void every_configured_name_has_a_policy()
    {
        for (auto const name : config::routing_policies)
        {
            CPPUNIT_ASSERT(find_policy(name).has_value());
        }
        CPPUNIT_ASSERT_EQUAL(config::routing_policies.size(),
                             policy_names().size());
    }

    void every_policy_returns_a_valid_index()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                auto const servers = generate_servers();
                auto const input = generate_input();
                for (auto const& name : policy_names())
                {
                    auto const choose = *find_policy(name);
                    RC_ASSERT(choose(pointers(servers), input) <
                              servers.size());
                }
            }));
    }

    void least_outstanding_selects_a_minimum()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                auto const servers = generate_servers();
                auto const chosen =
                    least_outstanding(pointers(servers), generate_input());
                for (auto const& server : servers)
                {
                    RC_ASSERT(servers[chosen].outstanding <=
                              server.outstanding);
                }
            }));
    }

    // An engine that fails every request immediately has the fewest open
    // requests and would receive all traffic.
    void failing_server_is_ejected_and_retried()
    {
        backend_view server;
        instant const now{1'000};
        server = record_failure(record_failure(server, now), now);
        CPPUNIT_ASSERT(usable(server, now));
        server = record_failure(server, now);
        CPPUNIT_ASSERT(!usable(server, now));
        CPPUNIT_ASSERT(usable(server, now + duration{500}));
        server = record_failure(server, now);
        CPPUNIT_ASSERT(!usable(server, now + duration{999}));
        CPPUNIT_ASSERT(usable(record_success(server), now));
    }

    void limits_are_enforced_and_refill()
    {
        limits const bounds{2, 1'000};
        limit_state state;
        auto decision = admit(state, bounds, 600, {0});
        CPPUNIT_ASSERT(decision.verdict == limit_verdict::admitted);
        decision = admit(decision.state, bounds, 600, {0});
        CPPUNIT_ASSERT(decision.verdict == limit_verdict::rate_exceeded);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{201}, decision.retry_after.ms);
        decision = admit(decision.state, bounds, 600, {201});
        CPPUNIT_ASSERT(decision.verdict == limit_verdict::admitted);
        decision = admit(decision.state, bounds, 1, {5'000});
        CPPUNIT_ASSERT(decision.verdict == limit_verdict::concurrency_exceeded);
        state = release(decision.state, bounds, 0);
        CPPUNIT_ASSERT(admit(state, bounds, 1, {5'000}).verdict ==
                       limit_verdict::admitted);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(policy_test);
