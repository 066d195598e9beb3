#include <caperpath/config/configuration_state.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace caperpath::config;

namespace
{

std::shared_ptr<document const> numbered(std::uint64_t version)
{
    document made;
    made.version = version;
    return std::make_shared<document const>(made);
}

} // namespace

class configuration_state_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(configuration_state_test);
    CPPUNIT_TEST(never_reverts_and_starts_with_the_newest);
    CPPUNIT_TEST(keeps_serving_while_a_newer_one_loads);
    CPPUNIT_TEST_SUITE_END();

    // Responses of the store and documents from peers arrive late, twice and
    // out of order. A router that followed the latest one would reinstate a
    // revoked key.
    void never_reverts_and_starts_with_the_newest()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                configuration_state now;
                std::uint64_t served = 0;
                std::uint64_t named = 0;
                auto const steps = *rc::gen::inRange(1, 40);
                for (int i = 0; i < steps; ++i)
                {
                    auto const version =
                        *rc::gen::inRange<std::uint64_t>(1, 12);
                    auto const from_store = *rc::gen::arbitrary<bool>();
                    named = from_store ? std::max(named, version) : named;
                    now = from_store ? with_store_version(now, version)
                                     : with_document(now, numbered(version));
                    auto const document = document_in_force(now);
                    RC_ASSERT(document || served == 0);
                    if (!document)
                    {
                        continue;
                    }
                    RC_ASSERT(document->version >= served);
                    RC_ASSERT(served != 0 || document->version >= named);
                    RC_ASSERT(version_lag(now) ==
                              std::max(named, document->version) -
                                  document->version);
                    served = document->version;
                }
            }));
    }

    // The store reports version 2 and then fails before its content is read.
    // The router must keep serving version 1; stopping would reject every
    // customer.
    void keeps_serving_while_a_newer_one_loads()
    {
        auto now = with_document(with_store_version({}, 1), numbered(1));
        now = with_store_version(now, 2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, document_in_force(now)->version);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, version_lag(now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_state_test);
