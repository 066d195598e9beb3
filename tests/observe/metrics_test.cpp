#include <caperpath/observe/metrics.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace caperpath;
using namespace caperpath::observe;

class metrics_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(metrics_test);
    CPPUNIT_TEST(renders_what_was_counted);
    CPPUNIT_TEST(labels_stay_bounded);
    CPPUNIT_TEST_SUITE_END();

    static void assert_has(std::string const& page, std::string const& line)
    {
        CPPUNIT_ASSERT_MESSAGE(page,
                               page.find(line + "\n") != std::string::npos);
    }

    void renders_what_was_counted()
    {
        metrics counted;
        counted.request_finished(request::outcome::completed, 200);
        counted.request_finished(request::outcome::not_run, 402);
        counted.table_write(store::commit_outcome::unknown);
        counted.bill_finished(budget::bill_state::copied);
        counted.first_token(2'500);
        counted.spans_dropped(3);
        counted.spans_dropped(2);
        auto const page = counted.render();
        assert_has(page, "caperpath_requests_total{outcome=\"not-run\","
                         "status=\"4xx\"} 1");
        assert_has(page, "caperpath_table_writes_total{outcome=\"unknown\"} 1");
        assert_has(page, "caperpath_bills_total{state=\"copied\"} 1");
        assert_has(page,
                   "caperpath_first_token_seconds_bucket{le=\"0.005\"} 1");
        assert_has(page, "caperpath_spans_dropped_total 3");
    }

    // Guards against unbounded memory if a fault creates a new rejection code
    // for each request.
    void labels_stay_bounded()
    {
        metrics counted;
        for (int i = 0; i < 1'000; ++i)
        {
            counted.request_rejected("code-" + std::to_string(i));
        }
        auto const page = counted.render();
        auto const lines = std::count(page.begin(), page.end(), '\n');
        CPPUNIT_ASSERT(lines < 160);
        assert_has(page, "caperpath_refusals_total{code=\"other\"} 968");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(metrics_test);
