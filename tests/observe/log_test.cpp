#include <caperpath/observe/log.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace caperpath::observe;

class log_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(log_test);
    CPPUNIT_TEST(a_value_never_leaves_its_field);
    CPPUNIT_TEST(plain_values_stay_readable);
    CPPUNIT_TEST_SUITE_END();

    // A caller sends a request id with a line break, a quote and "peer=" in it.
    // Guards against log lines or fields forged by such a value.
    void a_value_never_leaves_its_field()
    {
        CPPUNIT_ASSERT(rc::check(
            [](std::string const& hostile)
            {
                auto const text = escape_value(hostile);
                RC_ASSERT(std::all_of(text.begin(), text.end(),
                                      [](char c)
                                      { return c >= ' ' && c <= '~'; }));
                RC_ASSERT(unescape_value(text) == hostile);
                if (text.front() != '"')
                {
                    RC_ASSERT(text.find_first_of(" =\"\\") ==
                              std::string::npos);
                    return;
                }
                for (std::size_t i = 1; i + 1 < text.size(); ++i)
                {
                    RC_ASSERT(text[i] != '"');
                    i += text[i] == '\\' ? 1 : 0;
                }
                RC_ASSERT(text.back() == '"');
            }));
    }

    void plain_values_stay_readable()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string{"step=dispatch request=r-1 peer=127.0.0.1:80 "
                        "detail=\"no \\\"answer\\\"\""},
            format_line(
                {.step = "dispatch", .request = "r-1", .peer = "127.0.0.1:80"},
                "no \"answer\""));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_test);
