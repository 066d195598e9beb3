#include "gateway/crash_rows.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace caperpath;
using namespace caperpath::gateway;

class crash_rows_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(crash_rows_test);
    CPPUNIT_TEST(rows_are_read_as_they_were_written);
    CPPUNIT_TEST(rows_of_another_kind_are_not_read);
    CPPUNIT_TEST_SUITE_END();

    static constexpr fleet::fingerprint request{1, 0xabcdef0123456789};

    void rows_are_read_as_they_were_written()
    {
        auto const key = crash_key(request);
        CPPUNIT_ASSERT(key > crash_range_begin && key < crash_range_end);
        CPPUNIT_ASSERT(crash_request(key) == request);
        fleet::crash_evidence const known{7, 2};
        CPPUNIT_ASSERT(decode_evidence(encode_evidence(known)) == known);
    }

    // Guards against a row that no router wrote, or one of another version,
    // and the end of the process under it.
    void rows_of_another_kind_are_not_read()
    {
        for (auto const* key : {"", "crash//fleet", "crash/12/fleet",
                                "router/1/fleet", "crash/", "/fleet"})
        {
            CPPUNIT_ASSERT_MESSAGE(key, !crash_request(key));
        }
        for (auto const* text :
             {"", "[]", "{}", R"({"cleared":1})",
              R"({"cleared":-1,"crashes":1})", R"({"cleared":1,"crashes":-1})",
              R"({"cleared":"1","crashes":1})",
              R"({"cleared":1,"crashes":1.5})"})
        {
            CPPUNIT_ASSERT_MESSAGE(text, !decode_evidence(text));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_rows_test);
