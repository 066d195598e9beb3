#include <caperpath/budget/transfer.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <vector>

using namespace caperpath;
using namespace caperpath::budget;

class transfer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(transfer_test);
    CPPUNIT_TEST(a_transfer_is_retried_until_it_is_confirmed);
    CPPUNIT_TEST(a_duplicate_transfer_counts_once);
    CPPUNIT_TEST(each_sender_has_its_own_numbers);
    CPPUNIT_TEST(transfers_to_a_dead_receiver_are_dropped);
    CPPUNIT_TEST(a_receiver_that_does_not_confirm_is_overdue);
    CPPUNIT_TEST(any_order_of_datagrams_delivers_each_transfer_once);
    CPPUNIT_TEST_SUITE_END();

    static constexpr instant start{10'000};
    inline static incarnation_id const here{"vm-1-1"};
    inline static incarnation_id const there{"vm-2-1"};
    inline static budget_id const taller{"taller"};

    // Guards against losing tokens with a datagram.
    void a_transfer_is_retried_until_it_is_confirmed()
    {
        auto posted = post({}, there, taller, 700, start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, posted.what.number);
        auto sent = std::move(posted.sent);
        CPPUNIT_ASSERT(take_due(sent, start).due.empty());
        auto again = take_due(std::move(sent), start + duration{5'000});
        CPPUNIT_ASSERT(again.due.at(there) ==
                       std::vector<transfer>{posted.what});
        sent = confirmed(std::move(again.sent), there, {1});
        CPPUNIT_ASSERT(
            take_due(std::move(sent), start + duration{60'000}).due.empty());
    }

    // Guards against tokens that count twice because their datagram arrives
    // twice.
    void a_duplicate_transfer_counts_once()
    {
        auto first = take({}, there, 1);
        CPPUNIT_ASSERT(first.is_new);
        auto second = take(std::move(first.taken), there, 1);
        CPPUNIT_ASSERT(!second.is_new);
        auto later = take(std::move(second.taken), there, 3);
        CPPUNIT_ASSERT(later.is_new);
        auto between = take(std::move(later.taken), there, 2);
        CPPUNIT_ASSERT(between.is_new);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3},
                             between.taken.senders.at(there).all_up_to);
        CPPUNIT_ASSERT(!take(std::move(between.taken), there, 3).is_new);
    }

    // Guards against a new process at an address whose first transfers are
    // mistaken for duplicates of those of its predecessor.
    void each_sender_has_its_own_numbers()
    {
        auto step = take({}, here, 1);
        CPPUNIT_ASSERT(take(std::move(step.taken), there, 1).is_new);
    }

    // Guards against transfers that are retried to a dead process forever.
    void transfers_to_a_dead_receiver_are_dropped()
    {
        auto sent = post({}, there, taller, 700, start).sent;
        sent = abandoned(std::move(sent), there);
        CPPUNIT_ASSERT(
            take_due(std::move(sent), start + duration{60'000}).due.empty());
    }

    // Guards against a coordinator that sends all its tokens to a router that
    // is cut off, where other routers cannot use them.
    void a_receiver_that_does_not_confirm_is_overdue()
    {
        auto sent = post({}, there, taller, 700, start).sent;
        auto now = start;
        for (int i = 0; i < 4 && !is_overdue(sent, there); ++i)
        {
            now = now + duration{1'000};
            sent = take_due(std::move(sent), now).sent;
        }
        CPPUNIT_ASSERT(is_overdue(sent, there));
        sent = confirmed(std::move(sent), there, {1});
        CPPUNIT_ASSERT(!is_overdue(sent, there));
    }

    // Guards against datagrams that are lost, duplicated or reordered so that a
    // transfer counts twice or never.
    void any_order_of_datagrams_delivers_each_transfer_once()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                auto const count = *rc::gen::inRange(1, 20);
                auto const order = *rc::gen::container<std::vector<int>>(
                    rc::gen::inRange(1, count + 1));
                inbox taken;
                std::set<int> seen;
                for (auto const number : order)
                {
                    auto step = take(std::move(taken), there,
                                     static_cast<std::uint64_t>(number));
                    taken = std::move(step.taken);
                    RC_ASSERT(step.is_new == seen.insert(number).second);
                }
            }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(transfer_test);
