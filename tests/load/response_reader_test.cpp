#include "load/response_reader.hpp"
#include "stand_in/response_text.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace caperpath;
using namespace caperpath::load;

namespace
{

std::string event(nlohmann::json const& body)
{
    return "data: " + body.dump() + "\n\n";
}

std::string token_event(std::string const& text)
{
    nlohmann::json const choice{{"index", 0}, {"delta", {{"content", text}}}};
    return event({{"choices", {choice}}});
}

std::vector<std::string> tokens_of(std::string const& prompt, int count)
{
    std::vector<std::string> tokens;
    tokens.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
    {
        tokens.push_back(stand_in::response_token(prompt + "\n", i));
    }
    return tokens;
}

std::string stream_of(std::vector<std::string> const& tokens, int counted)
{
    std::string text;
    for (auto const& token : tokens)
    {
        text += token_event(token);
    }
    nlohmann::json const usage{{"prompt_tokens", 3},
                               {"completion_tokens", counted}};
    text += event({{"choices", nlohmann::json::array()}, {"usage", usage}});
    return text + "data: [DONE]\n\n";
}

received_response read(std::string const& bytes)
{
    stream_reader reader;
    reader.feed(bytes, 1);
    return reader.response();
}

std::string make_prompt(std::string const& words, int tokens)
{
    return words + " [tokens=" + std::to_string(tokens) + "]";
}

} // namespace

class response_reader_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(response_reader_test);
    CPPUNIT_TEST(splitting_does_not_matter);
    CPPUNIT_TEST(a_stream_that_ends_early_is_cut);
    CPPUNIT_TEST(a_duplicate_missing_or_foreign_token_is_wrong);
    CPPUNIT_TEST(a_wrong_count_is_wrong);
    CPPUNIT_TEST_SUITE_END();

    void splitting_does_not_matter()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                auto const count = *rc::gen::inRange(1, 30);
                auto const prompt = make_prompt("mine", count);
                auto const bytes = stream_of(tokens_of(prompt, count), count);
                stream_reader reader;
                for (std::size_t at = 0; at < bytes.size();)
                {
                    auto const size = *rc::gen::inRange<std::size_t>(1, 99);
                    reader.feed(bytes.substr(at, size), 1);
                    at += size;
                }
                RC_ASSERT(reader.response() == read(bytes));
                RC_ASSERT(check_response(prompt, count, reader.response()) ==
                          verdict::complete);
            }));
    }

    // The router dies while a stream is open. The beginning of a response must
    // never be counted as complete.
    void a_stream_that_ends_early_is_cut()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                auto const count = *rc::gen::inRange(1, 30);
                auto const prompt = make_prompt("mine", count);
                auto const bytes = stream_of(tokens_of(prompt, count), count);
                auto const kept =
                    *rc::gen::inRange<std::size_t>(0, bytes.size() - 2);
                RC_ASSERT(check_response(prompt, count,
                                         read(bytes.substr(0, kept))) ==
                          verdict::cut);
            }));
    }

    // After a failover the new engine starts at the wrong token, or a late
    // response reaches another request. The caller receives text that the
    // engine never generated for this prompt.
    void a_duplicate_missing_or_foreign_token_is_wrong()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                auto const count = *rc::gen::inRange(2, 30);
                auto const prompt = make_prompt("mine", count);
                auto tokens = tokens_of(prompt, count);
                auto const place = *rc::gen::inRange(0, count - 1);
                auto const position = tokens.begin() + place;
                switch (*rc::gen::inRange(0, 3))
                {
                case 0:
                    tokens.insert(position, *position);
                    break;
                case 1:
                    tokens.erase(position);
                    break;
                default:
                    *position =
                        tokens_of(make_prompt("other", count),
                                  count)[static_cast<std::size_t>(place)];
                }
                auto const answer = read(stream_of(tokens, count));
                RC_ASSERT(check_response(prompt, count, answer) ==
                          verdict::wrong);
            }));
    }

    void a_wrong_count_is_wrong()
    {
        auto const prompt = make_prompt("mine", 3);
        auto const answer = read(stream_of(tokens_of(prompt, 3), 4));
        CPPUNIT_ASSERT(check_response(prompt, 3, answer) == verdict::wrong);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(response_reader_test);
