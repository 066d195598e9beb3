#include <caperpath/budget/transfer.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <vector>

using namespace caperpath;
using namespace caperpath::budget;

class transfer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(transfer_test);
    CPPUNIT_TEST(a_transfer_is_sent_again_until_it_is_confirmed);
    CPPUNIT_TEST(a_transfer_that_comes_twice_counts_once);
    CPPUNIT_TEST(numbers_of_each_sender_are_its_own);
    CPPUNIT_TEST(a_dead_receiver_is_given_up);
    CPPUNIT_TEST(nothing_more_goes_to_a_receiver_that_does_not_confirm);
    CPPUNIT_TEST(any_order_of_datagrams_delivers_each_transfer_once);
    CPPUNIT_TEST_SUITE_END();

    static constexpr instant start{10'000};
    inline static incarnation_id const here{"vm-1-1"};
    inline static incarnation_id const there{"vm-2-1"};
    inline static budget_id const taller{"taller"};

    // Guards against tokens that are lost with a datagram.
    void a_transfer_is_sent_again_until_it_is_confirmed()
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

    // Guards against tokens that are spent twice: here and by the receiver.
    void a_transfer_that_comes_twice_counts_once()
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
    // taken for those of the one before it.
    void numbers_of_each_sender_are_its_own()
    {
        auto step = take({}, here, 1);
        CPPUNIT_ASSERT(take(std::move(step.taken), there, 1).is_new);
    }

    // Guards against transfers that are sent to a dead process for ever.
    void a_dead_receiver_is_given_up()
    {
        auto sent = post({}, there, taller, 700, start).sent;
        sent = abandoned(std::move(sent), there);
        CPPUNIT_ASSERT(
            take_due(std::move(sent), start + duration{60'000}).due.empty());
    }

    // Guards against a coordinator that sends all it has to a router that is
    // cut off, where it serves nobody else.
    void nothing_more_goes_to_a_receiver_that_does_not_confirm()
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
