#include <caperpath/budget/distribution.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>
#include <string>

using namespace caperpath;
using namespace caperpath::budget;

class distribution_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(distribution_test);
    CPPUNIT_TEST(a_count_decays);
    CPPUNIT_TEST(most_of_a_budget_is_distributed_before_requests);
    CPPUNIT_TEST(a_small_budget_is_split_into_usable_parts);
    CPPUNIT_TEST(a_router_with_more_traffic_gets_more);
    CPPUNIT_TEST(tokens_follow_callers_that_stay_at_a_router);
    CPPUNIT_TEST(a_quarter_stays_in_the_row_for_a_crash);
    CPPUNIT_TEST(one_router_does_not_get_a_whole_budget);
    CPPUNIT_TEST(a_balanced_fleet_moves_nothing);
    CPPUNIT_TEST(no_more_is_sent_than_is_available);
    CPPUNIT_TEST(a_partition_of_all_routers_rejects_few);
    CPPUNIT_TEST(routers_with_most_tokens_are_recalled_first);
    CPPUNIT_TEST(coordinators_change_only_with_their_vm);
    CPPUNIT_TEST_SUITE_END();

    static constexpr instant start{100'000};
    static constexpr std::size_t fleet = 295;

    static vm_id name(std::size_t router)
    {
        return {"10.0." + std::to_string(router) + ".1:7000"};
    }

    static budget_stock idle_fleet(std::size_t routers, token_count paid,
                                   double request)
    {
        budget_stock stock;
        stock.ungranted = paid;
        stock.mean_request = request;
        for (std::size_t i = 1; i < routers; ++i)
        {
            stock.routers[name(i)] = {};
        }
        return stock;
    }

    /// Applies the moves of `plan`, as a coordinator that can draw all it
    /// needs.
    static void apply_moves(budget_stock& stock, distribution const& plan)
    {
        stock.pool += stock.ungranted;
        stock.ungranted = 0;
        for (auto const& move : plan.moves)
        {
            stock.routers.at(move.router).free += move.tokens;
            stock.pool -= move.tokens;
        }
        stock.own.free = stock.pool;
    }

    static token_count total_tokens(budget_stock const& stock)
    {
        return std::accumulate(stock.routers.begin(), stock.routers.end(),
                               stock.pool + stock.ungranted,
                               [](token_count sum, auto const& entry)
                               { return sum + entry.second.free; });
    }

    // Guards against old requests that count like recent ones.
    void a_count_decays()
    {
        auto const once = counted({}, start);
        CPPUNIT_ASSERT_EQUAL(1.0, value_at(once, start));
        auto const twice = counted(once, start);
        CPPUNIT_ASSERT_EQUAL(2.0, value_at(twice, start));
        CPPUNIT_ASSERT(value_at(twice, start + duration{60'000}) < 0.01);
    }

    // Guards against a fleet that loses its store while most of each budget is
    // still in it.
    void most_of_a_budget_is_distributed_before_requests()
    {
        auto stock = idle_fleet(fleet, 30'000'000, 3'000);
        apply_moves(stock, distribute(stock));
        for (auto const& [router, one] : stock.routers)
        {
            CPPUNIT_ASSERT(one.free > 30'000'000 / 2 / 295);
        }
    }

    // Guards against splitting a small budget into parts that are too small for
    // any request.
    void a_small_budget_is_split_into_usable_parts()
    {
        auto stock = idle_fleet(fleet, 300'000, 3'000);
        apply_moves(stock, distribute(stock));
        auto const usable = std::count_if(
            stock.routers.begin(), stock.routers.end(),
            [](auto const& entry) { return entry.second.free >= 3'000; });
        CPPUNIT_ASSERT(usable >= 70);
    }

    // Guards against equal parts for routers with unequal traffic.
    void a_router_with_more_traffic_gets_more()
    {
        auto stock = idle_fleet(4, 1'000'000, 1'000);
        stock.routers[name(1)].all_requests = 90;
        stock.routers[name(2)].all_requests = 10;
        auto const parts = expected_parts(stock);
        CPPUNIT_ASSERT(parts.at(name(1)) > 3 * parts.at(name(2)));
        CPPUNIT_ASSERT(parts.at(name(3)) > 0);
    }

    // Guards against a customer whose callers are all at one router and whose
    // budget is spread evenly over all.
    void tokens_follow_callers_that_stay_at_a_router()
    {
        auto stock = idle_fleet(fleet, 10'000'000, 3'000);
        for (auto& [router, one] : stock.routers)
        {
            one.all_requests = 60;
        }
        stock.own.all_requests = 60;
        stock.routers[name(7)].requests = 300;
        CPPUNIT_ASSERT(expected_parts(stock).at(name(7)) > 0.2);
    }

    // Guards against a fleet that holds all of a budget, is killed in an outage
    // of its store, and can serve less than a quarter of the later requests.
    void a_quarter_stays_in_the_row_for_a_crash()
    {
        auto const stock = idle_fleet(89, 4'000'000, 3'000);
        auto const plan = distribute(stock);
        auto const given = std::accumulate(
            plan.moves.begin(), plan.moves.end(), token_count{0},
            [](token_count sum, token_move const& move)
            { return sum + move.tokens; });
        auto const own = 3'000'000 / 89;
        CPPUNIT_ASSERT(given + own <= 3'000'000);
        CPPUNIT_ASSERT(plan.pool_target <= own + 10 * 3'000);
    }

    // Guards against a customer that loses most of its budget with the one
    // router that its callers use.
    void one_router_does_not_get_a_whole_budget()
    {
        auto stock = idle_fleet(fleet, 20'000'000, 3'000);
        for (auto& [router, one] : stock.routers)
        {
            one.all_requests = 60;
        }
        stock.routers[name(7)].requests = 100;
        apply_moves(stock, distribute(stock));
        // A few times what a hundred requests in ten seconds need.
        CPPUNIT_ASSERT(stock.routers[name(7)].free >= 300'000);
        CPPUNIT_ASSERT(stock.routers[name(7)].free <= 1'500'000);
    }

    // Guards against tokens that circulate between routers forever.
    void a_balanced_fleet_moves_nothing()
    {
        auto stock = idle_fleet(fleet, 30'000'000, 3'000);
        for (int round = 0; round < 3; ++round)
        {
            apply_moves(stock, distribute(stock));
        }
        CPPUNIT_ASSERT(distribute(stock).moves.empty());
    }

    // Guards against a plan that moves more tokens than the coordinator or a
    // router has.
    void no_more_is_sent_than_is_available()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                auto const count = [](int limit)
                {
                    return static_cast<double>(*rc::gen::inRange(0, limit));
                };
                auto stock = idle_fleet(
                    static_cast<std::size_t>(*rc::gen::inRange(2, 40)),
                    *rc::gen::inRange(0, 1'000'000), count(10'000) + 1);
                stock.pool = *rc::gen::inRange(0, 1'000'000);
                for (auto& [router, one] : stock.routers)
                {
                    one.free = *rc::gen::inRange(0, 100'000);
                    one.requests = count(50);
                    one.all_requests = one.requests + count(50);
                }
                auto const plan = distribute(stock);
                token_count given = 0;
                for (auto const& move : plan.moves)
                {
                    given += std::max<token_count>(0, move.tokens);
                    auto const left =
                        stock.routers.at(move.router).free + move.tokens;
                    RC_ASSERT(left >= 0);
                }
                RC_ASSERT(given <= stock.pool + stock.ungranted);
                RC_ASSERT(plan.pool_target <= total_tokens(stock));
            }));
    }

    // 295 routers, 40 customers of sizes 1/n, large requests, callers at random
    // routers; after some seconds all routers are cut off from the store and
    // from each other for 8 s. Guards against rejections with tokens unspent at
    // routers that do not need them.
    void a_partition_of_all_routers_rejects_few()
    {
        constexpr double requests_a_second = 1'276;
        constexpr double seconds_a_day = 34;
        constexpr double before_partition = 5;
        constexpr double partition = 8;
        constexpr double paid_part = 1.3;
        constexpr double mean = 3'000;
        constexpr int customers = 40;
        constexpr double all_requests =
            requests_a_second * before_partition / static_cast<double>(fleet);
        std::mt19937 random{7};
        std::lognormal_distribution<double> size{std::log(mean) - 0.72, 1.2};
        std::uniform_int_distribution<std::size_t> router{0, fleet - 1};
        double harmonic = 0;
        for (int i = 1; i <= customers; ++i)
        {
            harmonic += 1.0 / i;
        }
        int asked = 0;
        int served = 0;
        for (int i = 1; i <= customers; ++i)
        {
            auto const rate = requests_a_second / i / harmonic;
            auto stock =
                idle_fleet(fleet,
                           static_cast<token_count>(rate * seconds_a_day *
                                                    mean * paid_part),
                           mean);
            apply_moves(stock, distribute(stock));
            stock.own.all_requests = all_requests;
            for (auto& [vm, one] : stock.routers)
            {
                one.all_requests = all_requests;
            }
            auto const arrivals = [&](double span, auto const& each)
            {
                auto const count = static_cast<int>(rate * span);
                for (int n = 0; n < count; ++n)
                {
                    auto const tokens = static_cast<token_count>(size(random));
                    auto const at = router(random);
                    each(at == 0 ? stock.own : stock.routers.at(name(at)),
                         tokens);
                }
            };
            // While routers reach each other, a router with a shortage gets
            // tokens.
            arrivals(before_partition,
                     [&](router_stock& one, token_count tokens)
                     {
                         one.requests += 1;
                         auto const shortage =
                             std::max<token_count>(0, tokens - one.free);
                         stock.pool -= shortage;
                         one.free += shortage - tokens;
                     });
            stock.pool = std::max<token_count>(0, stock.pool);
            apply_moves(stock, distribute(stock));
            arrivals(partition,
                     [&](router_stock& one, token_count tokens)
                     {
                         asked += 1;
                         if (tokens <= one.free)
                         {
                             one.free -= tokens;
                             served += 1;
                         }
                     });
        }
        CPPUNIT_ASSERT(served > asked * 88 / 100);
    }

    // Guards against recalling tokens from more routers than necessary.
    void routers_with_most_tokens_are_recalled_first()
    {
        auto stock = idle_fleet(5, 0, 1'000);
        stock.routers[name(1)].free = 100;
        stock.routers[name(2)].free = 900;
        stock.routers[name(3)].free = 500;
        auto const asked = plan_recalls(stock, 1'200);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, asked.size());
        CPPUNIT_ASSERT(asked[0] == (token_move{name(2), -900}));
        CPPUNIT_ASSERT(asked[1] == (token_move{name(3), -300}));
    }

    // Guards against a fleet in which each router that joins or leaves changes
    // the coordinators of all budgets.
    void coordinators_change_only_with_their_vm()
    {
        std::vector<vm_id> vms;
        for (std::size_t i = 0; i < fleet; ++i)
        {
            vms.push_back(name(i));
        }
        for (int i = 0; i < 40; ++i)
        {
            budget_id const budget{"customer-" + std::to_string(i)};
            auto const before = coordinators(budget, vms);
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, before.size());
            auto fewer = vms;
            std::erase(fewer, before[0]);
            auto const after = coordinators(budget, fewer);
            CPPUNIT_ASSERT(after[0] == before[1]);
            CPPUNIT_ASSERT(after[1] == before[2]);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(distribution_test);
