#include <caperpath/request/answer.hpp>
#include <caperpath/request/retry.hpp>
#include <caperpath/request/sse.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>

using namespace caperpath;
using namespace caperpath::request;

class answer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(answer_test);
    CPPUNIT_TEST(only_the_next_token_of_this_attempt_passes);
    CPPUNIT_TEST(a_stream_without_its_end_is_broken);
    CPPUNIT_TEST(an_answer_ends_where_the_reservation_ends);
    CPPUNIT_TEST(events_survive_any_cutting);
    CPPUNIT_TEST(arbitrary_bytes_are_never_a_token);
    CPPUNIT_TEST(retries_stay_a_tenth_of_requests);
    CPPUNIT_TEST(the_silence_bound_follows_the_gaps);
    CPPUNIT_TEST_SUITE_END();

    static answer_state fresh(std::int64_t max_tokens = 1'000)
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

    // An engine mixes up two streams, repeats a chunk or leaves one out. The
    // caller would read a foreign, doubled or holed answer as its own.
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
                    bool const ours = event.request == "r" &&
                                      event.attempt == state.attempt &&
                                      event.offset == state.next_offset;
                    auto const taken = accept(state, event);
                    RC_ASSERT((taken.verdict == acceptance::pass) == ours);
                    RC_ASSERT(taken.state.next_offset ==
                              state.next_offset + (ours ? 1 : 0));
                    state = taken.state;
                }
            }));
    }

    // A connection is cut just before the end and the engine's proxy closes the
    // stream politely. A review without its last lines would look whole.
    void a_stream_without_its_end_is_broken()
    {
        auto const state = accept(fresh(), token("r", 1, 0)).state;
        engine_event done;
        done.what = engine_event::kind::done;
        CPPUNIT_ASSERT(accept(state, done).verdict == acceptance::broken);
    }

    // An engine ignores max_tokens. What it generates beyond the reservation
    // was never set aside and would be spent beyond the budget.
    void an_answer_ends_where_the_reservation_ends()
    {
        auto state = fresh(2);
        state = accept(state, token("r", 1, 0)).state;
        state = accept(state, token("r", 1, 1)).state;
        auto const taken = accept(state, token("r", 1, 2));
        CPPUNIT_ASSERT(taken.verdict == acceptance::cut);
        CPPUNIT_ASSERT(taken.state.done);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, taken.state.next_offset);
    }

    void events_survive_any_cutting()
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

    // Every engine fails. Nine routers that each try four times would send
    // four times the load at engines that are already down.
    void retries_stay_a_tenth_of_requests()
    {
        retry_budget state;
        constexpr int requests = 10'000;
        int retries = 0;
        for (int i = 0; i < requests; ++i)
        {
            state = earned(state);
            while (may_retry(state))
            {
                state = spent(state);
                ++retries;
            }
        }
        CPPUNIT_ASSERT(retries <= requests / 10 + 10);
    }

    void the_silence_bound_follows_the_gaps()
    {
        gap_tracker state;
        CPPUNIT_ASSERT(silence_bound(state) == gap_tracker::initial_bound);
        for (int i = 0; i < 100; ++i)
        {
            state = observed(state, {40});
        }
        CPPUNIT_ASSERT_EQUAL(std::int64_t{80}, silence_bound(state).ms);
        state = observed(state, {400});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{800}, silence_bound(state).ms);
        for (int i = 0; i < 200; ++i)
        {
            state = observed(state, {40});
        }
        CPPUNIT_ASSERT(silence_bound(state) <= duration{100});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(answer_test);
