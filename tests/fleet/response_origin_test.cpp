#include <caperpath/base/http_status.hpp>
#include <caperpath/fleet/response_origin.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace caperpath;
using namespace caperpath::fleet;

class response_origin_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(response_origin_test);
    CPPUNIT_TEST(a_success_needs_a_signature);
    CPPUNIT_TEST(a_failure_needs_a_signature_or_an_id);
    CPPUNIT_TEST(a_promise_needs_more_than_an_id);
    CPPUNIT_TEST(another_id_outweighs_all_else);
    CPPUNIT_TEST(a_used_connection_needs_the_id);
    CPPUNIT_TEST(no_success_without_a_signature_passes);
    CPPUNIT_TEST_SUITE_END();

    static response_marks unsigned_one(int status, bool names_this)
    {
        return {status, false, names_this, false, false};
    }

    static response_marks signed_one(int status)
    {
        return {status, true, true, false, false};
    }

    // Guards against bytes of a faulty server that callers get as a success.
    void a_success_needs_a_signature()
    {
        for (auto const status : {200, 201, 204, 206, 299, 302, 304})
        {
            CPPUNIT_ASSERT(judge_origin(signed_one(status)) ==
                           response_origin::this_request);
            for (auto const names_this : {true, false})
            {
                CPPUNIT_ASSERT(judge_origin(unsigned_one(status, names_this)) ==
                               response_origin::unproven);
            }
        }
    }

    // Guards against the failure of another request, and against an error for a
    // failure that a server reports.
    void a_failure_needs_a_signature_or_an_id()
    {
        for (auto const status : {400, 404, 422, 500, 504, 599})
        {
            CPPUNIT_ASSERT(judge_origin(signed_one(status)) ==
                           response_origin::this_request);
            CPPUNIT_ASSERT(judge_origin(unsigned_one(status, true)) ==
                           response_origin::this_request);
            CPPUNIT_ASSERT(judge_origin(unsigned_one(status, false)) ==
                           response_origin::unproven);
        }
    }

    // Guards against a status that tells the caller to send again what may have
    // run.
    void a_promise_needs_more_than_an_id()
    {
        for (auto const status : {408, 421, 429, 503})
        {
            CPPUNIT_ASSERT(promises_not_run(status));
            CPPUNIT_ASSERT(judge_origin(unsigned_one(status, true)) ==
                           response_origin::unproven);
            CPPUNIT_ASSERT(judge_origin({status, false, true, false, true}) ==
                           response_origin::this_request);
        }
    }

    // Guards against the response to an earlier request of the connection.
    void another_id_outweighs_all_else()
    {
        CPPUNIT_ASSERT(judge_origin({200, true, false, true, false}) ==
                       response_origin::other_request);
        CPPUNIT_ASSERT(judge_origin({503, true, false, true, true}) ==
                       response_origin::other_request);
        CPPUNIT_ASSERT(judge_origin({100, true, false, true, false}) ==
                       response_origin::interim);
    }

    // Guards against a late response to an earlier request that names none.
    void a_used_connection_needs_the_id()
    {
        for (auto const status : {200, 404, 500, 503})
        {
            for (auto const not_run : {true, false})
            {
                response_marks const late{status, true,    false,
                                          false,  not_run, true};
                CPPUNIT_ASSERT(judge_origin(late) == response_origin::unproven);
                auto const own =
                    response_marks{status, true, true, false, not_run, true};
                CPPUNIT_ASSERT(judge_origin(own) ==
                               response_origin::this_request);
            }
        }
        CPPUNIT_ASSERT(judge_origin({503, false, false, false, true}) ==
                       response_origin::this_request);
    }

    // Guards against a combination that the cases above leave out.
    void no_success_without_a_signature_passes()
    {
        auto const holds = rc::check(
            []
            {
                response_marks const marks{
                    *rc::gen::inRange(http_ok, http_client_error), false,
                    *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>(),
                    false};
                RC_ASSERT(judge_origin(marks) != response_origin::this_request);
            });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(response_origin_test);
