#include <caperpath/base/stall_detector.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace caperpath;

class stall_detector_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stall_detector_test);
    CPPUNIT_TEST(a_slow_transfer_continues);
    CPPUNIT_TEST(a_stall_ends_the_transfer);
    CPPUNIT_TEST(a_trickle_ends_the_transfer);
    CPPUNIT_TEST_SUITE_END();

    static constexpr duration stall{800};

    // Guards against abandoning a response because it is large.
    void a_slow_transfer_continues()
    {
        auto of = start_stall_detector(stall, instant{0});
        for (std::int64_t at = 700; at < 60'000; at += 700)
        {
            CPPUNIT_ASSERT(instant{at} < stall_deadline(of));
            of = arrived(of, least_progress, instant{at});
        }
    }

    // Guards against waiting for a silent connection.
    void a_stall_ends_the_transfer()
    {
        auto of = start_stall_detector(stall, instant{0});
        of = arrived(of, 10 * least_progress, instant{500});
        CPPUNIT_ASSERT(stall_deadline(of) == instant{1'300});
    }

    // Guards against a peer that keeps a call open with occasional bytes.
    void a_trickle_ends_the_transfer()
    {
        auto of = start_stall_detector(stall, instant{0});
        for (std::int64_t at = 0; at < 800; ++at)
        {
            of = arrived(of, 1, instant{at});
        }
        CPPUNIT_ASSERT(stall_deadline(of) == instant{800});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stall_detector_test);
