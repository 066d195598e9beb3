#include "filters/chain.hpp"
#include "filters/context.hpp"

#include <caperpath/base/http_status.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <limits>
#include <memory>
#include <string>
#include <utility>

using namespace caperpath;

/// What becomes of a request that is read when the drain is over.
class drain_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(drain_test);
    CPPUNIT_TEST(a_late_request_is_refused_before_it_waits);
    CPPUNIT_TEST(a_late_repeat_is_not_called_not_run);
    CPPUNIT_TEST(a_request_within_the_drain_goes_on);
    CPPUNIT_TEST_SUITE_END();

    struct router_parts
    {
        explicit router_parts(std::int64_t stop_at) : stop_at{stop_at}
        {
            this->shared.metrics = &this->metrics;
            this->shared.spans = observe::make_null_sink();
            this->shared.ids = &this->ids;
            this->shared.stop_at = &this->stop_at;
            this->shared.configuration = [this]
            {
                this->configuration_reads += 1;
                return std::shared_ptr<config::document const>{};
            };
        }

        request::refusal refusal_of(filters::incoming given)
        {
            filters::context request{this->shared, std::move(given)};
            filters::chain chain{filters::request_filters(), request};
            CPPUNIT_ASSERT(!chain.enter());
            chain.leave();
            return *request.refusal;
        }

        observe::metrics metrics;
        observe::id_generator ids{1};
        std::atomic<std::int64_t> stop_at;
        int configuration_reads{};
        filters::services shared;
    };

    // Guards against a request that is begun, waits for a budget and is sent
    // although the process is about to end.
    void a_late_request_is_refused_before_it_waits()
    {
        router_parts late{0};
        auto const refused = late.refusal_of({});
        CPPUNIT_ASSERT_EQUAL(http_unavailable, refused.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"router_stops"}, refused.code);
        CPPUNIT_ASSERT(refused.kind == request::outcome::not_run);
        CPPUNIT_ASSERT(refused.retry_after.ms > 0);
        CPPUNIT_ASSERT_EQUAL(0, late.configuration_reads);
    }

    // Guards against "not-run" for a key that another router may have run.
    void a_late_repeat_is_not_called_not_run()
    {
        router_parts late{0};
        filters::incoming repeat;
        repeat.idempotency_key = "k";
        CPPUNIT_ASSERT(late.refusal_of(repeat).kind ==
                       request::outcome::unknown);
    }

    // Guards against refusals before the drain is over.
    void a_request_within_the_drain_goes_on()
    {
        router_parts open{std::numeric_limits<std::int64_t>::max()};
        CPPUNIT_ASSERT_EQUAL(std::string{"not_ready"},
                             open.refusal_of({}).code);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(drain_test);
