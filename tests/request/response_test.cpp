#include <caperpath/request/response.hpp>
#include <caperpath/request/retry.hpp>
#include <caperpath/request/sse.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>

using namespace caperpath;
using namespace caperpath::request;

class response_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(response_test);
    CPPUNIT_TEST(only_the_next_token_of_this_attempt_passes);
    CPPUNIT_TEST(a_stream_without_its_end_is_broken);
    CPPUNIT_TEST(response_is_truncated_at_the_reservation);
    CPPUNIT_TEST(events_are_split_correctly_at_any_chunk_size);
    CPPUNIT_TEST(arbitrary_bytes_are_never_a_token);
    CPPUNIT_TEST(retries_are_a_tenth_of_requests_at_most);
    CPPUNIT_TEST(silence_timeout_follows_the_gaps);
    CPPUNIT_TEST_SUITE_END();

    static response_state fresh(std::int64_t max_tokens = 1'000)
    {
        return {{"r"}, 1, 0, max_tokens, "", std::nullopt, false};
    }

    static engine_event token(std::string request, int attempt,
                              std::int64_t offset)
    {
        return {engine_event::kind::token,
                std::move(request),
                attempt,
                offset,
                "t",
                "",
                {}};
    }

    // Guards against an engine that mixes up two streams, repeats a chunk or
    // skips one: the caller would get another request's, duplicate or missing
    // tokens.
    void only_the_next_token_of_this_attempt_passes()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                auto state = fresh();
                for (int i = 0; i < 200; ++i)
                {
                    auto const event =
                        token(*rc::gen::element<std::string>("r", "s"),
                              *rc::gen::inRange(0, 3),
                              state.next_offset + *rc::gen::inRange(-1, 2));
                    bool const expected = event.request == "r" &&
                                          event.attempt == state.attempt &&
                                          event.offset == state.next_offset;
                    auto const result = accept(state, event);
                    RC_ASSERT((result.verdict == acceptance::pass) == expected);
                    RC_ASSERT(result.state.next_offset ==
                              state.next_offset + (expected ? 1 : 0));
                    state = result.state;
                }
            }));
    }

    // Guards against a connection that breaks just before the end while the
    // engine's proxy closes the stream regularly: an incomplete response would
    // look complete.
    void a_stream_without_its_end_is_broken()
    {
        auto const state = accept(fresh(), token("r", 1, 0)).state;
        engine_event done;
        done.type = engine_event::kind::done;
        CPPUNIT_ASSERT(accept(state, done).verdict == acceptance::broken);
    }

    // Guards against an engine that ignores max_tokens: tokens beyond the
    // reservation would be spent beyond the budget.
    void response_is_truncated_at_the_reservation()
    {
        auto state = fresh(2);
        state = accept(state, token("r", 1, 0)).state;
        state = accept(state, token("r", 1, 1)).state;
        auto const result = accept(state, token("r", 1, 2));
        CPPUNIT_ASSERT(result.verdict == acceptance::truncate);
        CPPUNIT_ASSERT(result.state.done);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, result.state.next_offset);
    }

    void events_are_split_correctly_at_any_chunk_size()
    {
        CPPUNIT_ASSERT(rc::check(
            [](std::vector<std::uint8_t> const& sizes)
            {
                std::string const wire = "data: one\n\n: note\r\n\r\ndata: "
                                         "two\r\n\r\ndata:three\ndata: x\n\n";
                sse_splitter splitter;
                std::vector<std::string> events;
                std::size_t at = 0;
                std::size_t turn = 0;
                while (at < wire.size())
                {
                    auto const size =
                        sizes.empty() ? 1
                                      : sizes[turn++ % sizes.size()] % 7 + 1;
                    for (auto& event :
                         splitter.feed(std::string_view{wire}.substr(at, size)))
                    {
                        events.push_back(std::move(event));
                    }
                    at += size;
                }
                RC_ASSERT(events ==
                          (std::vector<std::string>{"one", "two", "three\nx"}));
            }));
    }

    void arbitrary_bytes_are_never_a_token()
    {
        CPPUNIT_ASSERT(rc::check(
            [](std::string const& bytes)
            {
                auto const event = decode_engine_event(bytes);
                RC_ASSERT(accept(fresh(), event).verdict == acceptance::broken);
            }));
    }

    // Guards against retries that multiply the load when every engine fails:
    // nine routers with four attempts each would send four times the load to
    // engines that are already down.
    void retries_are_a_tenth_of_requests_at_most()
    {
        retry_budget state;
        constexpr int requests = 10'000;
        int retries = 0;
        for (int i = 0; i < requests; ++i)
        {
            state = credit_request(state);
            while (may_retry(state))
            {
                state = debit_retry(state);
                ++retries;
            }
        }
        CPPUNIT_ASSERT(retries <= requests / 10 + 10);
    }

    void silence_timeout_follows_the_gaps()
    {
        gap_tracker state;
        CPPUNIT_ASSERT(silence_timeout(state) == gap_tracker::initial_timeout);
        for (int i = 0; i < 100; ++i)
        {
            state = record_gap(state, {40});
        }
        CPPUNIT_ASSERT_EQUAL(std::int64_t{80}, silence_timeout(state).ms);
        state = record_gap(state, {400});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{800}, silence_timeout(state).ms);
        for (int i = 0; i < 200; ++i)
        {
            state = record_gap(state, {40});
        }
        CPPUNIT_ASSERT(silence_timeout(state) <= duration{100});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(response_test);
