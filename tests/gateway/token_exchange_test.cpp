#include "gateway/exchange_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace caperpath;
using namespace caperpath::gateway;

class token_exchange_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(token_exchange_test);
    CPPUNIT_TEST(a_packet_round_trips);
    CPPUNIT_TEST(damaged_packets_are_rejected);
    CPPUNIT_TEST(a_caller_waits_for_one_round_trip);
    CPPUNIT_TEST(a_lost_request_or_response_is_retried);
    CPPUNIT_TEST(a_silent_coordinator_is_skipped);
    CPPUNIT_TEST(a_router_without_responses_draws_by_itself);
    CPPUNIT_TEST(a_coordinator_without_tokens_recalls_some);
    CPPUNIT_TEST(a_request_beyond_all_tokens_is_rejected_at_once);
    CPPUNIT_TEST(a_budget_is_used_up_only_once_it_is_spent);
    CPPUNIT_TEST(most_tokens_are_distributed_before_a_cut);
    CPPUNIT_TEST(the_token_total_is_conserved);
    CPPUNIT_TEST(a_new_process_ignores_transfers_to_the_old_one);
    CPPUNIT_TEST(a_restarted_router_gets_responses);
    CPPUNIT_TEST(idle_budgets_send_no_datagrams);
    CPPUNIT_TEST_SUITE_END();

    inline static budget_id const taller{"taller"};

    static token_count total_tokens(exchange_fleet const& fleet,
                                    budget_id const& budget)
    {
        auto all = fleet.ungranted.at(budget);
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

    void a_packet_round_trips()
    {
        peer_packet packet;
        packet.from = {"vm-1-1"};
        packet.to = {"vm-2-1"};
        packet.all_requests = 1'500;
        packet.transfers = {{7, taller, 900}};
        packet.confirmed = {1, 2};
        packet.reports = {{taller, 10, 20, 30}};
        packet.token_requests = {{taller, 3, 4}};
        packet.token_rejections = {{taller, 3, 1'000}};
        packet.recalls = {{taller, 50}};
        auto const decoded =
            value_or_error([&] { return decode_packet(encode(packet)); });
        CPPUNIT_ASSERT(packet == std::get<peer_packet>(decoded));
    }

    // Guards against a process that crashes on a malformed datagram, or accepts
    // a negative token count.
    void damaged_packets_are_rejected()
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
            auto const decoded =
                value_or_error([&] { return decode_packet(bytes); });
            CPPUNIT_ASSERT(std::holds_alternative<error>(decoded));
        }
    }

    // Guards against callers that wait for store writes, most of which conflict
    // while hundreds of routers write the same row.
    void a_caller_waits_for_one_round_trip()
    {
        exchange_fleet fleet{20, {{taller, 1'000'000}}};
        auto const requester = other_than(fleet.coordinator(taller));
        CPPUNIT_ASSERT(fleet.request(requester, taller, 9'000, duration{4}));
    }

    void a_lost_request_or_response_is_retried()
    {
        exchange_fleet fleet{20, {{taller, 10'000'000}}};
        auto const requester = other_than(fleet.coordinator(taller));
        fleet.loss_interval = 2;
        for (int i = 0; i < 20; ++i)
        {
            CPPUNIT_ASSERT(fleet.request(requester, taller, 40'000));
            fleet.run(duration{100});
        }
    }

    // Guards against rejecting all customers of a coordinator while it is dead.
    void a_silent_coordinator_is_skipped()
    {
        exchange_fleet fleet{20, {{taller, 1'000'000}}};
        auto const coordinator = fleet.coordinator(taller);
        fleet.cut = {coordinator};
        auto const requester = other_than(coordinator);
        CPPUNIT_ASSERT(fleet.request(requester, taller, 9'000));
        // The next request does not wait for the timeout again.
        CPPUNIT_ASSERT(fleet.request(requester, taller, 90'000, duration{10}));
    }

    // Guards against a router that reaches the store but no other router, and
    // rejects callers although the budget row has tokens.
    void a_router_without_responses_draws_by_itself()
    {
        exchange_fleet fleet{20, {{taller, 1'000'000}}};
        auto const requester = other_than(fleet.coordinator(taller));
        fleet.cut = {requester};
        CPPUNIT_ASSERT(!fleet.request(requester, taller, 9'000, duration{600}));
        auto const& share = fleet.routers[requester].shares.at(taller);
        CPPUNIT_ASSERT(share.draws_alone);
        CPPUNIT_ASSERT(!share.rejected);
        CPPUNIT_ASSERT(!fleet.routers[requester].exchange->may_get_response(
            taller, fleet.now));
    }

    void a_coordinator_without_tokens_recalls_some()
    {
        exchange_fleet fleet{20, {{taller, 50'000}}};
        auto const coordinator = fleet.coordinator(taller);
        fleet.ungranted[taller] = 0;
        auto const source = coordinator == 5 ? 6 : 5;
        auto const requester = coordinator == 7 ? 8 : 7;
        fleet.routers[static_cast<std::size_t>(source)].shares[taller].free =
            50'000;
        fleet.run(duration{5'100}); // the free tokens are reported
        CPPUNIT_ASSERT(fleet.request(static_cast<std::size_t>(requester),
                                     taller, 20'000, duration{60}));
    }

    // Guards against callers that wait the full time for tokens that no router
    // has, and are rejected only then.
    void a_request_beyond_all_tokens_is_rejected_at_once()
    {
        exchange_fleet fleet{20, {{taller, 1'000'000}}};
        fleet.ungranted[taller] = 1'000;
        auto const requester = other_than(fleet.coordinator(taller));
        CPPUNIT_ASSERT(!fleet.request(requester, taller, 9'000, duration{5}));
        auto const& rejected =
            fleet.routers[requester].shares.at(taller).rejected;
        CPPUNIT_ASSERT(rejected && *rejected > duration{0});
    }

    // Guards against reporting a budget as used up while some of its tokens are
    // in transfer.
    void a_budget_is_used_up_only_once_it_is_spent()
    {
        exchange_fleet fleet{20, {{taller, 100'000}}};
        auto const coordinator = fleet.coordinator(taller);
        auto const requester = other_than(coordinator);
        CPPUNIT_ASSERT(fleet.request(requester, taller, 96'000));
        fleet.run(duration{6'000}); // the spent tokens are reported
        CPPUNIT_ASSERT(!fleet.request(requester, taller, 9'000));
        CPPUNIT_ASSERT(fleet.routers[requester].shares.at(taller).rejected ==
                       duration{0});
        CPPUNIT_ASSERT(fleet.request(requester, taller, 2'000));
    }

    // Guards against routers that have no tokens to serve from when they lose
    // the store and the coordinators.
    void most_tokens_are_distributed_before_a_cut()
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
            served += fleet.request(i, taller, 5'000, duration{1}) ? 1 : 0;
        }
        CPPUNIT_ASSERT(served >= count * 9 / 10);
    }

    void the_token_total_is_conserved()
    {
        exchange_fleet fleet{30, {{taller, 2'000'000}}};
        fleet.loss_interval = 5;
        std::mt19937 random{11};
        for (int i = 0; i < 200; ++i)
        {
            fleet.request(random() % 30, taller,
                          static_cast<token_count>(random() % 20'000));
            fleet.run(duration{static_cast<std::int64_t>(random() % 200)});
            CPPUNIT_ASSERT(total_tokens(fleet, taller) <= 2'000'000);
        }
        fleet.loss_interval = 0;
        fleet.run(duration{9'000});
        fleet.deliver_all();
        CPPUNIT_ASSERT_EQUAL(token_count{2'000'000},
                             total_tokens(fleet, taller));
    }

    // Guards against tokens that a dead process accepted and its successor
    // accepts again.
    void a_new_process_ignores_transfers_to_the_old_one()
    {
        exchange_fleet fleet{20, {{taller, 1'000'000}}};
        auto const requester = other_than(fleet.coordinator(taller));
        peer_packet late;
        late.from = {"vm-9-1"};
        late.to = {"vm-0-0"}; // the previous process
        late.transfers = {{1, taller, 5'000}};
        fleet.routers[requester].exchange->receive(fleet.routers[9].address,
                                                   encode(late), fleet.now);
        CPPUNIT_ASSERT_EQUAL(token_count{0},
                             fleet.routers[requester].shares[taller].free);
    }

    // Guards against a router whose callers are rejected after a restart,
    // because its token requests are numbered from 1 again and taken for old
    // ones.
    void a_restarted_router_gets_responses()
    {
        exchange_fleet fleet{20, {{taller, 1'000'000}}};
        auto const requester = other_than(fleet.coordinator(taller));
        CPPUNIT_ASSERT(fleet.request(requester, taller, 9'000));
        fleet.run(duration{500});
        CPPUNIT_ASSERT(fleet.request(requester, taller, 90'000));
        fleet.restart(requester);
        CPPUNIT_ASSERT(fleet.request(requester, taller, 9'000, duration{10}));
    }

    // Guards against traffic between routers that grows with the number of
    // customers, most of which send no requests.
    void idle_budgets_send_no_datagrams()
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
