#include <caperpath/base/http_framing.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace caperpath;

/// Which heads of messages say without doubt where the body ends.
class http_framing_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_framing_test);
    CPPUNIT_TEST(sound_framing_is_accepted);
    CPPUNIT_TEST(codings_other_than_chunked_are_faults);
    CPPUNIT_TEST(a_coding_beside_a_length_is_a_fault);
    CPPUNIT_TEST(a_coding_in_http_10_is_a_fault);
    CPPUNIT_TEST(lengths_that_differ_are_faults);
    CPPUNIT_TEST(no_other_text_counts_as_chunked);
    CPPUNIT_TEST_SUITE_END();

    using views = std::vector<std::string_view>;

    static std::optional<framing_fault>
    find(views const& codings, views const& lengths = {}, unsigned version = 11)
    {
        return find_framing_fault({version, codings, lengths});
    }

    // Guards against the rejection of requests that are framed as usual.
    void sound_framing_is_accepted()
    {
        for (auto const* const coding :
             {"chunked", "Chunked", "CHUNKED", " chunked\t", "\tchunked "})
        {
            CPPUNIT_ASSERT(!find({coding}));
        }
        for (auto const* const length :
             {"0", "5", " 5 ", "5, 5", "18446744073709551615"})
        {
            CPPUNIT_ASSERT(!find({}, {length}));
            CPPUNIT_ASSERT(!find({}, {length}, 10));
        }
        CPPUNIT_ASSERT(!find({}, {"5", "5"}));
        CPPUNIT_ASSERT(!find({}));
        CPPUNIT_ASSERT(!find({}, {}, 10));
    }

    // Guards against a body that one recipient reads and another does not.
    void codings_other_than_chunked_are_faults()
    {
        for (auto const& codings : std::vector<views>{{""},
                                                      {" "},
                                                      {"identity"},
                                                      {"gzip"},
                                                      {"xchunked"},
                                                      {"chunkedx"},
                                                      {"chunke"},
                                                      {"chunked, identity"},
                                                      {"gzip, chunked"},
                                                      {"chunked, chunked"},
                                                      {",chunked"},
                                                      {"chunked,"},
                                                      {"chunked;q=1"},
                                                      {"chunked ; a=b"},
                                                      {"\"chunked\""},
                                                      {"chun ked"},
                                                      {"chunked\v"},
                                                      {"chunked", "chunked"},
                                                      {"chunked", ""},
                                                      {"", "chunked"},
                                                      {"gzip", "chunked"},
                                                      {"chunked", "identity"}})
        {
            CPPUNIT_ASSERT(find(codings) == framing_fault::unsupported_coding);
        }
    }

    // Guards against a length that is believed although a coding decides.
    void a_coding_beside_a_length_is_a_fault()
    {
        for (auto const* const coding : {"chunked", "gzip", "identity", ""})
        {
            CPPUNIT_ASSERT(find({coding}, {"5"}) ==
                           framing_fault::coding_and_length);
        }
    }

    // Guards against a body in chunks whose sender does not know chunks.
    void a_coding_in_http_10_is_a_fault()
    {
        for (auto const* const coding : {"chunked", "gzip", ""})
        {
            CPPUNIT_ASSERT(find({coding}, {}, 10) ==
                           framing_fault::coding_in_http_10);
            CPPUNIT_ASSERT(find({coding}, {"5"}, 10) ==
                           framing_fault::coding_in_http_10);
        }
    }

    // Guards against two lengths of which each recipient chooses its own.
    void lengths_that_differ_are_faults()
    {
        for (auto const& lengths : std::vector<views>{{""},
                                                      {"+5"},
                                                      {"-5"},
                                                      {"0x5"},
                                                      {"5 5"},
                                                      {"5,"},
                                                      {",5"},
                                                      {"5, 6"},
                                                      {"5,,5"},
                                                      {"5", "6"},
                                                      {"5", ""},
                                                      {"5.0"},
                                                      {"18446744073709551616"}})
        {
            CPPUNIT_ASSERT(find({}, lengths) == framing_fault::invalid_length);
        }
    }

    // Guards against a spelling that another recipient does not take for
    // chunks.
    void no_other_text_counts_as_chunked()
    {
        auto const holds = rc::check(
            "only `chunked` alone is accepted",
            []
            {
                auto const letters = std::string{"chunkedCHUNKED ,;\t\"x"};
                auto const text = *rc::gen::container<std::string>(
                    rc::gen::elementOf(letters));
                auto const value =
                    text + *rc::gen::element<std::string>("", "chunked");
                auto const first = value.find_first_not_of(" \t");
                auto const last = value.find_last_not_of(" \t");
                auto const core = first == std::string::npos
                                      ? std::string{}
                                      : value.substr(first, last - first + 1);
                auto lower = core;
                for (auto& letter : lower)
                {
                    letter = static_cast<char>(
                        std::tolower(static_cast<unsigned char>(letter)));
                }
                RC_ASSERT(!find({value}) == (lower == "chunked"));
            });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_framing_test);
