#include <caperpath/fleet/response_end.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace caperpath::fleet;

class response_end_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(response_end_test);
    CPPUNIT_TEST(a_stream_that_ends_within_an_event_is_truncated);
    CPPUNIT_TEST(a_framed_body_without_events_is_complete);
    CPPUNIT_TEST(an_end_by_the_connection_proves_nothing);
    CPPUNIT_TEST_SUITE_END();

    static constexpr event_state whole{true, false};
    static constexpr event_state cut{true, true};
    static constexpr event_state other{false, true};

    // Guards against a broken-off stream that is framed as complete.
    void a_stream_that_ends_within_an_event_is_truncated()
    {
        for (auto const framing : {body_framing::length, body_framing::chunks,
                                   body_framing::connection})
        {
            CPPUNIT_ASSERT(judge_end(framing, cut) == body_end::truncated);
        }
        CPPUNIT_ASSERT(judge_end(body_framing::connection, other) ==
                       body_end::truncated);
    }

    // Guards against an error for a whole response of another content type.
    void a_framed_body_without_events_is_complete()
    {
        CPPUNIT_ASSERT(judge_end(body_framing::length, other) ==
                       body_end::complete);
        CPPUNIT_ASSERT(judge_end(body_framing::chunks, whole) ==
                       body_end::complete);
    }

    // Guards against taking the end of a connection for the end of a body.
    void an_end_by_the_connection_proves_nothing()
    {
        CPPUNIT_ASSERT(judge_end(body_framing::connection, whole) ==
                       body_end::unproven);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(response_end_test);
