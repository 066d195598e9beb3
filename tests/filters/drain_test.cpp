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

/// Requests that are read after the drain bound has passed.
class drain_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(drain_test);
    CPPUNIT_TEST(late_request_is_rejected_without_waiting);
    CPPUNIT_TEST(late_retry_has_unknown_outcome);
    CPPUNIT_TEST(request_within_drain_bound_proceeds);
    CPPUNIT_TEST_SUITE_END();

    struct router_state
    {
        explicit router_state(std::int64_t stop_at) : stop_at{stop_at}
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

        request::rejection rejection_of(filters::incoming given)
        {
            filters::context request{this->shared, std::move(given)};
            filters::chain chain{filters::request_filters(), request};
            CPPUNIT_ASSERT(!chain.enter());
            chain.leave();
            return *request.rejection;
        }

        observe::metrics metrics;
        observe::id_generator ids{1};
        std::atomic<std::int64_t> stop_at;
        int configuration_reads{};
        filters::request_dependencies shared;
    };

    // Guards against a request that waits for its budget and is sent to a
    // server although the process is about to end.
    void late_request_is_rejected_without_waiting()
    {
        router_state late{0};
        auto const rejection = late.rejection_of({});
        CPPUNIT_ASSERT_EQUAL(http_unavailable, rejection.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"router_stops"}, rejection.code);
        CPPUNIT_ASSERT(rejection.kind == request::outcome::not_run);
        CPPUNIT_ASSERT(rejection.retry_after.ms > 0);
        CPPUNIT_ASSERT_EQUAL(0, late.configuration_reads);
    }

    // Guards against "not-run" for a key whose request another router may have
    // run.
    void late_retry_has_unknown_outcome()
    {
        router_state late{0};
        filters::incoming retry;
        retry.idempotency_key = "k";
        CPPUNIT_ASSERT(late.rejection_of(retry).kind ==
                       request::outcome::unknown);
    }

    // Guards against rejections within the drain bound.
    void request_within_drain_bound_proceeds()
    {
        router_state open{std::numeric_limits<std::int64_t>::max()};
        CPPUNIT_ASSERT_EQUAL(std::string{"not_ready"},
                             open.rejection_of({}).code);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(drain_test);
