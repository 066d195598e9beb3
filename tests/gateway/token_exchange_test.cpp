#include "gateway/exchange_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace caperpath;
using namespace caperpath::gateway;

class token_exchange_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(token_exchange_test);
    CPPUNIT_TEST(a_packet_survives_its_bytes);
    CPPUNIT_TEST(damaged_packets_are_refused);
    CPPUNIT_TEST(a_caller_waits_for_one_round_trip);
    CPPUNIT_TEST(a_lost_ask_or_answer_is_sent_again);
    CPPUNIT_TEST(a_silent_coordinator_is_passed_over);
    CPPUNIT_TEST(a_router_that_nobody_answers_draws_by_itself);
    CPPUNIT_TEST(a_coordinator_without_tokens_asks_those_that_have_some);
    CPPUNIT_TEST(what_nobody_has_is_denied_at_once);
    CPPUNIT_TEST(a_budget_is_used_up_only_when_it_is);
    CPPUNIT_TEST(most_is_spread_before_a_cut);
    CPPUNIT_TEST(tokens_neither_appear_nor_vanish);
    CPPUNIT_TEST(a_new_process_does_not_take_what_went_to_the_old_one);
    CPPUNIT_TEST(a_restarted_router_is_answered);
    CPPUNIT_TEST(idle_budgets_cost_nothing);
    CPPUNIT_TEST_SUITE_END();

    inline static budget_id const taller{"taller"};

    static token_count everywhere(exchange_fleet const& fleet,
                                  budget_id const& budget)
    {
        auto all = fleet.left.at(budget);
        for (auto const& one : fleet.routers)
        {
            auto const found = one.shares.find(budget);
            all += found == one.shares.end()
                       ? 0
                       : found->second.free + found->second.spent;
        }
        return all;
    }

    static std::size_t other_than(std::size_t coordinator)
    {
        return coordinator == 0 ? 1 : 0;
    }

    void a_packet_survives_its_bytes()
    {
        peer_packet packet;
        packet.from = {"vm-1-1"};
        packet.to = {"vm-2-1"};
        packet.all_requests = 1'500;
        packet.transfers = {{7, taller, 900}};
        packet.confirmed = {1, 2};
        packet.reports = {{taller, 10, 20, 30}};
        packet.asks = {{taller, 3, 4}};
        packet.denials = {{taller, 3, 1'000}};
        packet.recalls = {{taller, 50}};
        auto const back =
            value_or_error([&] { return decode_packet(encode(packet)); });
        CPPUNIT_ASSERT(packet == std::get<peer_packet>(back));
    }

    // Guards against a process that ends on a datagram of somebody else, or
    // takes a negative amount for tokens.
    void damaged_packets_are_refused()
    {
        peer_packet negative;
        negative.transfers = {{1, taller, -5}};
        auto cut = encode(peer_packet{});
        cut.resize(cut.size() / 2);
        auto huge = encode(peer_packet{});
        huge[2] = '\x7f';
        for (auto const& bytes :
             {std::string{}, std::string{"\x02"}, std::string(40, '\xff'), cut,
              huge, encode(negative)})
        {
            auto const back =
                value_or_error([&] { return decode_packet(bytes); });
            CPPUNIT_ASSERT(std::holds_alternative<error>(back));
        }
    }

    // Guards against callers that wait for writes to the store, most of which
    // are refused while hundreds of routers write the same row.
    void a_caller_waits_for_one_round_trip()
    {
        exchange_fleet fleet{20, {{taller, 1'000'000}}};
        auto const asker = other_than(fleet.coordinator(taller));
        CPPUNIT_ASSERT(fleet.ask(asker, taller, 9'000, duration{4}));
    }

    void a_lost_ask_or_answer_is_sent_again()
    {
        exchange_fleet fleet{20, {{taller, 10'000'000}}};
        auto const asker = other_than(fleet.coordinator(taller));
        fleet.loses_each = 2;
        for (int i = 0; i < 20; ++i)
        {
            CPPUNIT_ASSERT(fleet.ask(asker, taller, 40'000));
            fleet.run(duration{100});
        }
    }

    // Guards against all customers of a coordinator being refused while it is
    // dead.
    void a_silent_coordinator_is_passed_over()
    {
        exchange_fleet fleet{20, {{taller, 1'000'000}}};
        auto const coordinator = fleet.coordinator(taller);
        fleet.cut = {coordinator};
        auto const asker = other_than(coordinator);
        CPPUNIT_ASSERT(fleet.ask(asker, taller, 9'000));
        // The next one does not wait for it again.
        CPPUNIT_ASSERT(fleet.ask(asker, taller, 90'000, duration{10}));
    }

    // Guards against a router that reaches the store and no other router, and
    // refuses with the budget untouched.
    void a_router_that_nobody_answers_draws_by_itself()
    {
        exchange_fleet fleet{20, {{taller, 1'000'000}}};
        auto const asker = other_than(fleet.coordinator(taller));
        fleet.cut = {asker};
        CPPUNIT_ASSERT(!fleet.ask(asker, taller, 9'000, duration{600}));
        auto const& share = fleet.routers[asker].shares.at(taller);
        CPPUNIT_ASSERT(share.draws_alone);
        CPPUNIT_ASSERT(!share.refused);
        CPPUNIT_ASSERT(
            !fleet.routers[asker].exchange->may_be_answered(taller, fleet.now));
    }

    void a_coordinator_without_tokens_asks_those_that_have_some()
    {
        exchange_fleet fleet{20, {{taller, 50'000}}};
        auto const coordinator = fleet.coordinator(taller);
        fleet.left[taller] = 0;
        auto const rich = coordinator == 5 ? 6 : 5;
        auto const asker = coordinator == 7 ? 8 : 7;
        fleet.routers[static_cast<std::size_t>(rich)].shares[taller].free =
            50'000;
        fleet.run(duration{5'100}); // it reports
        CPPUNIT_ASSERT(fleet.ask(static_cast<std::size_t>(asker), taller,
                                 20'000, duration{60}));
    }

    // Guards against callers that are kept waiting for tokens which are
    // nowhere, and refused when they have waited in vain.
    void what_nobody_has_is_denied_at_once()
    {
        exchange_fleet fleet{20, {{taller, 1'000'000}}};
        fleet.left[taller] = 1'000;
        auto const asker = other_than(fleet.coordinator(taller));
        CPPUNIT_ASSERT(!fleet.ask(asker, taller, 9'000, duration{5}));
        auto const& refused = fleet.routers[asker].shares.at(taller).refused;
        CPPUNIT_ASSERT(refused && *refused > duration{0});
    }

    // Guards against a customer who is told for good that nothing is left while
    // tokens are on their way.
    void a_budget_is_used_up_only_when_it_is()
    {
        exchange_fleet fleet{20, {{taller, 100'000}}};
        auto const coordinator = fleet.coordinator(taller);
        auto const asker = other_than(coordinator);
        CPPUNIT_ASSERT(fleet.ask(asker, taller, 96'000));
        fleet.run(duration{6'000}); // it reports what was spent
        CPPUNIT_ASSERT(!fleet.ask(asker, taller, 9'000));
        CPPUNIT_ASSERT(fleet.routers[asker].shares.at(taller).refused ==
                       duration{0});
        CPPUNIT_ASSERT(fleet.ask(asker, taller, 2'000));
    }

    // Guards against routers that are cut off from store and coordinators with
    // nothing to serve from.
    void most_is_spread_before_a_cut()
    {
        constexpr std::size_t count = 295;
        exchange_fleet fleet{count, {{taller, 3'000'000}}};
        fleet.run(duration{9'000});
        for (std::size_t i = 0; i < count; ++i)
        {
            fleet.cut.insert(i);
        }
        std::size_t served = 0;
        for (std::size_t i = 0; i < count; ++i)
        {
            served += fleet.ask(i, taller, 5'000, duration{1}) ? 1 : 0;
        }
        CPPUNIT_ASSERT(served >= count * 9 / 10);
    }

    void tokens_neither_appear_nor_vanish()
    {
        exchange_fleet fleet{30, {{taller, 2'000'000}}};
        fleet.loses_each = 5;
        std::mt19937 random{11};
        for (int i = 0; i < 200; ++i)
        {
            fleet.ask(random() % 30, taller,
                      static_cast<token_count>(random() % 20'000));
            fleet.run(duration{static_cast<std::int64_t>(random() % 200)});
            CPPUNIT_ASSERT(everywhere(fleet, taller) <= 2'000'000);
        }
        fleet.loses_each = 0;
        fleet.run(duration{9'000});
        CPPUNIT_ASSERT_EQUAL(token_count{2'000'000}, everywhere(fleet, taller));
    }

    // Guards against tokens that a dead process had taken and its successor
    // takes once more.
    void a_new_process_does_not_take_what_went_to_the_old_one()
    {
        exchange_fleet fleet{20, {{taller, 1'000'000}}};
        auto const asker = other_than(fleet.coordinator(taller));
        peer_packet late;
        late.from = {"vm-9-1"};
        late.to = {"vm-0-0"}; // the process before
        late.transfers = {{1, taller, 5'000}};
        fleet.routers[asker].exchange->receive(fleet.routers[9].address,
                                               encode(late), fleet.now);
        CPPUNIT_ASSERT_EQUAL(token_count{0},
                             fleet.routers[asker].shares[taller].free);
    }

    // Guards against a router whose callers are refused after a restart, since
    // its asks, counted from the first, are taken for old ones.
    void a_restarted_router_is_answered()
    {
        exchange_fleet fleet{20, {{taller, 1'000'000}}};
        auto const asker = other_than(fleet.coordinator(taller));
        CPPUNIT_ASSERT(fleet.ask(asker, taller, 9'000));
        fleet.run(duration{500});
        CPPUNIT_ASSERT(fleet.ask(asker, taller, 90'000));
        fleet.restart(asker);
        CPPUNIT_ASSERT(fleet.ask(asker, taller, 9'000, duration{10}));
    }

    // Guards against traffic between routers that grows with the number of
    // customers, most of whom ask for nothing.
    void idle_budgets_cost_nothing()
    {
        std::map<budget_id, token_count> paid;
        for (int i = 0; i < 2'000; ++i)
        {
            paid[{"customer-" + std::to_string(i)}] = 1'000'000;
        }
        exchange_fleet fleet{40, paid};
        fleet.run(duration{8'000});
        for (auto const& one : fleet.routers)
        {
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, one.sent);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(token_exchange_test);
