#include <caperpath/base/adaptive_timeout.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace caperpath;
using namespace caperpath;

class adaptive_timeout_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(adaptive_timeout_test);
    CPPUNIT_TEST(a_lost_response_times_out_soon);
    CPPUNIT_TEST(the_timeout_grows_for_a_slow_store);
    CPPUNIT_TEST_SUITE_END();

    static constexpr duration longest{800};

    // The store executes a call and its response is lost. With a wait of 0.8 s
    // the rows of killed routers were 1.5 to 3.6 s old, and customers lost up
    // to a quarter of the tokens that they had paid for.
    void a_lost_response_times_out_soon()
    {
        adaptive_timeout of;
        of = after_response(of, duration{12});
        CPPUNIT_ASSERT(next_call_timeout(of, longest) == duration{200});
    }

    // The store takes 50 times as long as usual. If calls timed out after the
    // usual time, none would ever get a response.
    void the_timeout_grows_for_a_slow_store()
    {
        adaptive_timeout of;
        of = after_timeout(after_timeout(of));
        CPPUNIT_ASSERT(next_call_timeout(of, longest) == longest);
        of = after_response(of, duration{450});
        CPPUNIT_ASSERT(next_call_timeout(of, longest) >= duration{700});
        for (int i = 0; i < 40; ++i)
        {
            of = after_response(of, duration{10});
        }
        CPPUNIT_ASSERT(next_call_timeout(of, longest) == duration{200});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(adaptive_timeout_test);
