#include "budget/audit.hpp"

#include <caperpath/budget/recovery.hpp>
#include <caperpath/controllers/budget_controller.hpp>

#include <caf/all.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <thread>
#include <vector>

using namespace caperpath;
using config::budget_policy;
using store::injected_fault;

namespace
{

budget_id const budget_name{"talleres"};
constexpr duration long_wait{10'000};
constexpr token_count worst_case = 100;
constexpr token_count cost = 30;

struct fleet
{
    explicit fleet(store::port const& port, int routers)
    {
        for (int i = 0; i < routers; ++i)
        {
            this->controllers.push_back(controllers::spawn_budget_controller(
                this->system,
                controllers::budget_options_builder{
                    {"router-" + std::to_string(i)}, port}
                    .with_address("10.0.0.1:" + std::to_string(900 + i))
                    .with_settle({{10}, {20}, 50})
                    .with_durable_wait(long_wait)
                    .build()));
        }
    }

    bool stop()
    {
        bool clean = true;
        for (auto const& one : this->controllers)
        {
            clean &=
                controllers::stop_budgets(this->system, one, long_wait).clean;
        }
        return clean;
    }

    caf::actor_system_config config;
    caf::actor_system system{this->config};
    std::vector<caf::actor> controllers;
};

/// Sends `count` requests one after another; returns how many were admitted.
int send_requests(budget::port const& port, std::string const& name, int count,
                  budget_policy policy)
{
    int admitted = 0;
    for (int i = 0; i < count; ++i)
    {
        request_id const request{name + "-" + std::to_string(i)};
        auto const reply =
            port.reserve({request, budget_name, policy, worst_case, long_wait});
        if (reply.verdict != budget::reserve_verdict::admitted)
        {
            continue;
        }
        ++admitted;
        budget::finish_request const end{
            {request, {"don pedro"}, budget_name, cost, 10, 20, 1},
            policy,
            worst_case};
        auto const state = port.finish(end);
        CPPUNIT_ASSERT(policy != budget_policy::overspend_first ||
                       state == budget::bill_state::durable);
        port.finish(end);
    }
    return admitted;
}

} // namespace

class budget_controller_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(budget_controller_test);
    CPPUNIT_TEST(routers_share_a_budget_despite_lost_responses);
    CPPUNIT_TEST(nothing_is_admitted_without_a_store);
    CPPUNIT_TEST_SUITE_END();

    // Two routers draw on one budget from several threads while every seventh
    // response of the table is lost. Guards against billing a request twice and
    // against rejecting one while tokens are left.
    void routers_share_a_budget_despite_lost_responses()
    {
        auto const table = std::make_shared<store::memory_table>();
        auto const calls = std::make_shared<std::atomic<int>>(0);
        auto const lossy = store::make_memory_port(
            table,
            [calls](std::string const& step)
            {
                auto const lost = step == "commit" && ++*calls % 7 == 0;
                return lost ? injected_fault::lost_response
                            : injected_fault::none;
            });
        auto const direct = store::make_memory_port(table);
        constexpr int requests = 40;
        CPPUNIT_ASSERT(budget::top_up(direct, budget_name, "first", 100'000));
        fleet routers{lossy, 2};
        std::atomic<int> admitted{0};
        std::vector<std::thread> threads;
        for (std::size_t i = 0; i < 4; ++i)
        {
            threads.emplace_back(
                [&routers, &admitted, i]
                {
                    auto const port = controllers::make_budget_port(
                        routers.system, routers.controllers[i % 2]);
                    auto const policy =
                        i < 2 ? budget_policy::overspend_first
                              : budget_policy::false_refusals_first;
                    admitted += send_requests(port, "t" + std::to_string(i),
                                              requests, policy);
                });
        }
        for (auto& thread : threads)
        {
            thread.join();
        }
        CPPUNIT_ASSERT(routers.stop());
        auto const found = budget::audit_of(*table, budget_name);
        CPPUNIT_ASSERT(budget::is_consistent(found));
        CPPUNIT_ASSERT_EQUAL(4 * requests, admitted.load());
        CPPUNIT_ASSERT_EQUAL(token_count{4 * requests * cost}, found.billed);
        CPPUNIT_ASSERT_EQUAL(found.billed, found.row.granted);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, found.shares);
    }

    // The platform's table is down when the router starts. Guards against
    // reporting the budget as exhausted instead of undecidable.
    void nothing_is_admitted_without_a_store()
    {
        auto const table = std::make_shared<store::memory_table>();
        auto const dead = store::make_memory_port(
            table, [](std::string const&) { return injected_fault::outage; });
        fleet routers{dead, 1};
        auto const port = controllers::make_budget_port(
            routers.system, routers.controllers.front());
        auto const reply = port.reserve({{"r"},
                                         budget_name,
                                         budget_policy::false_refusals_first,
                                         worst_case,
                                         {100}});
        CPPUNIT_ASSERT(reply.verdict == budget::reserve_verdict::undecidable);
        CPPUNIT_ASSERT(reply.retry_after > duration{0});
        routers.stop();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(budget_controller_test);
