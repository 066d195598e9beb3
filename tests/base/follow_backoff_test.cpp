#include <caperpath/base/follow_backoff.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace caperpath;

class follow_backoff_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(follow_backoff_test);
    CPPUNIT_TEST(timeouts_grow_with_lost_calls);
    CPPUNIT_TEST(routers_retry_at_different_times);
    CPPUNIT_TEST(delays_are_bounded);
    CPPUNIT_TEST(holds_grow_up_to_the_longest);
    CPPUNIT_TEST_SUITE_END();

    // Guards against too short timeouts of calls on a saturated link.
    void timeouts_grow_with_lost_calls()
    {
        constexpr duration usual{350};
        CPPUNIT_ASSERT(first_byte_timeout(usual, 0) == usual);
        CPPUNIT_ASSERT(first_byte_timeout(usual, 1) == duration{700});
        CPPUNIT_ASSERT(first_byte_timeout(usual, 100) == duration{1'400});
    }

    // Guards against all routers calling the store in the same millisecond.
    void routers_retry_at_different_times()
    {
        std::set<std::int64_t> delays;
        for (std::size_t salt = 0; salt < 300; ++salt)
        {
            delays.insert(retry_backoff(1, salt).ms);
        }
        CPPUNIT_ASSERT(delays.size() >= 40);
    }

    void holds_grow_up_to_the_longest()
    {
        CPPUNIT_ASSERT(next_hold(duration{2'000}, duration{15'000}) ==
                       duration{4'000});
        CPPUNIT_ASSERT(next_hold(duration{8'000}, duration{15'000}) ==
                       duration{15'000});
        CPPUNIT_ASSERT(next_hold(duration{15'000}, duration{15'000}) ==
                       duration{15'000});
        // If `longest` is 0, the hold time does not change.
        CPPUNIT_ASSERT(next_hold(duration{600}, duration{0}) == duration{600});
    }

    void delays_are_bounded()
    {
        for (std::size_t salt = 0; salt < 300; ++salt)
        {
            CPPUNIT_ASSERT(retry_backoff(1, salt) < duration{50});
            CPPUNIT_ASSERT(retry_backoff(50, salt) >= duration{200});
            CPPUNIT_ASSERT(retry_backoff(50, salt) < duration{400});
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(follow_backoff_test);
