#include <caperpath/budget/recovery.hpp>
#include <caperpath/store/memory_table.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace caperpath;
using namespace caperpath::budget;
using store::injected_fault;

class top_up_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(top_up_test);
    CPPUNIT_TEST(a_lost_response_is_never_reported_as_not_applied);
    CPPUNIT_TEST_SUITE_END();

    // The store applies a top-up, the response is lost and then the store
    // fails. Guards against reporting that nothing happened: an operator would
    // pay in again under another id, and the customer would have it twice.
    void a_lost_response_is_never_reported_as_not_applied()
    {
        auto const table = std::make_shared<store::memory_table>();
        bool written = false;
        auto const failing = store::make_memory_port(
            table,
            [&written](std::string const& step)
            {
                auto const down = std::exchange(written, step == "commit");
                return step == "commit" ? injected_fault::lost_response
                       : down           ? injected_fault::outage
                                        : injected_fault::none;
            });
        budget_id const name{"talleres"};
        auto const result =
            value_or_error([&] { return top_up(failing, name, "t1", 500); });
        CPPUNIT_ASSERT(std::get<error>(result).kind == error_kind::timeout);
        auto const port = store::make_memory_port(table);
        CPPUNIT_ASSERT_EQUAL(token_count{500},
                             top_up(port, name, "t1", 500).value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(top_up_test);
