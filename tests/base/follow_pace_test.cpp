#include <caperpath/base/follow_pace.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace caperpath;

class follow_pace_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(follow_pace_test);
    CPPUNIT_TEST(limits_grow_with_lost_calls);
    CPPUNIT_TEST(routers_come_back_at_different_times);
    CPPUNIT_TEST(pauses_are_bounded);
    CPPUNIT_TEST(holds_grow_up_to_the_longest);
    CPPUNIT_TEST_SUITE_END();

    // Guards against calls on a full link that are all given up too early.
    void limits_grow_with_lost_calls()
    {
        constexpr duration usual{350};
        CPPUNIT_ASSERT(answer_limit(usual, 0) == usual);
        CPPUNIT_ASSERT(answer_limit(usual, 1) == duration{700});
        CPPUNIT_ASSERT(answer_limit(usual, 100) == duration{1'400});
    }

    // Guards against a store that all routers call in the same millisecond.
    void routers_come_back_at_different_times()
    {
        std::set<std::int64_t> pauses;
        for (std::size_t salt = 0; salt < 300; ++salt)
        {
            pauses.insert(retry_pause(1, salt).ms);
        }
        CPPUNIT_ASSERT(pauses.size() >= 40);
    }

    void holds_grow_up_to_the_longest()
    {
        CPPUNIT_ASSERT(next_hold(duration{2'000}, duration{15'000}) ==
                       duration{4'000});
        CPPUNIT_ASSERT(next_hold(duration{8'000}, duration{15'000}) ==
                       duration{15'000});
        CPPUNIT_ASSERT(next_hold(duration{15'000}, duration{15'000}) ==
                       duration{15'000});
        // Without a longest one, a hold stays as it is.
        CPPUNIT_ASSERT(next_hold(duration{600}, duration{0}) == duration{600});
    }

    void pauses_are_bounded()
    {
        for (std::size_t salt = 0; salt < 300; ++salt)
        {
            CPPUNIT_ASSERT(retry_pause(1, salt) < duration{50});
            CPPUNIT_ASSERT(retry_pause(50, salt) >= duration{200});
            CPPUNIT_ASSERT(retry_pause(50, salt) < duration{400});
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(follow_pace_test);
