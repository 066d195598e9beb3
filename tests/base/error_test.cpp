#include <caperpath/base/error.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace caperpath;

class error_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(error_test);
    CPPUNIT_TEST(carries_step_and_peer);
    CPPUNIT_TEST(returns_the_value);
    CPPUNIT_TEST_SUITE_END();

    void carries_step_and_peer()
    {
        error const fault{error_kind::timeout, "draw", "10.0.0.1:900", "late"};
        auto const both =
            value_or_error([&]() -> result<int> { return fail(fault); });
        CPPUNIT_ASSERT(std::get<error>(both) == fault);
        CPPUNIT_ASSERT_EQUAL(
            std::string{"step=draw peer=10.0.0.1:900 kind=timeout late"},
            to_string(fault));
    }

    void returns_the_value()
    {
        auto const both = value_or_error([]() -> result<int> { return 7; });
        CPPUNIT_ASSERT_EQUAL(7, std::get<int>(both));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(error_test);
