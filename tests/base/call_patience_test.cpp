#include <caperpath/base/call_patience.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace caperpath;
using namespace caperpath;

class call_patience_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(call_patience_test);
    CPPUNIT_TEST(a_lost_answer_is_noticed_soon);
    CPPUNIT_TEST(a_slow_store_is_waited_for);
    CPPUNIT_TEST_SUITE_END();

    static constexpr duration longest{800};

    // The store does what it is asked and loses the answer. Routers that waited
    // 0.8 s for it had rows of 1.5 to 3.6 s of age when they were killed, and
    // customers lost up to a quarter of what they had paid.
    void a_lost_answer_is_noticed_soon()
    {
        call_patience of;
        of = answered(of, duration{12});
        CPPUNIT_ASSERT(wait_for_answer(of, longest) == duration{200});
    }

    // The store takes 50 times as long as usual. Were calls given up after the
    // usual time, none would ever be answered.
    void a_slow_store_is_waited_for()
    {
        call_patience of;
        of = unanswered(unanswered(of));
        CPPUNIT_ASSERT(wait_for_answer(of, longest) == longest);
        of = answered(of, duration{450});
        CPPUNIT_ASSERT(wait_for_answer(of, longest) >= duration{700});
        for (int i = 0; i < 40; ++i)
        {
            of = answered(of, duration{10});
        }
        CPPUNIT_ASSERT(wait_for_answer(of, longest) == duration{200});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(call_patience_test);
