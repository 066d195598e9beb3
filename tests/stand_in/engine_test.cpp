#include "stand_in/chat_client.hpp"
#include "stand_in/running_engine.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

using namespace caperpath;
using namespace caperpath::stand_in;
using namespace stand_in_test;

class engine_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(engine_test);
    CPPUNIT_TEST(the_prompt_determines_the_response);
    CPPUNIT_TEST(concurrent_callers_get_their_own_responses);
    CPPUNIT_TEST(larger_priority_goes_first);
    CPPUNIT_TEST(a_full_queue_runs_nothing);
    CPPUNIT_TEST(repeated_prompts_are_cached);
    CPPUNIT_TEST(invalid_requests_report_the_field);
    CPPUNIT_TEST(example_settings_load);
    CPPUNIT_TEST_SUITE_END();

    void the_prompt_determines_the_response()
    {
        running_engine const engine{instant_settings()};
        auto const holds = rc::check(
            [&](std::string const& noise)
            {
                auto const length = *rc::gen::inRange<std::int64_t>(1, 40);
                auto const limit = *rc::gen::inRange<std::int64_t>(1, 40);
                auto const last = std::min(length, limit);
                auto const first = *rc::gen::inRange<std::int64_t>(0, last + 1);
                auto const content =
                    std::to_string(std::hash<std::string>{}(noise)) +
                    " [tokens=" + std::to_string(length) + "]";
                auto const prompt = content + "\n";
                auto body = chat_body(content, true);
                body["max_tokens"] = limit;
                auto const got = stream_chat(
                    engine.port, body,
                    {{"X-Request-Id", "r"},
                     {"Caperpath-Resume-Offset", std::to_string(first)}});
                RC_ASSERT(got.done);
                RC_ASSERT(got.text() == response_text(prompt, first, last));
                RC_ASSERT(got.events.back()["usage"]["completion_tokens"] ==
                          last);
                auto const& end = got.events[got.events.size() - 2];
                RC_ASSERT(end["choices"][0]["finish_reason"] ==
                          (length > limit ? "length" : "stop"));
                body["stream"] = false;
                auto const whole = nlohmann::json::parse(
                    post(engine.port, "/v1/chat/completions", body)->body);
                RC_ASSERT(whole["choices"][0]["message"]["content"] ==
                          response_text(prompt, 0, last));
                RC_ASSERT(whole["usage"]["prompt_tokens"] ==
                          prompt_tokens(prompt));
            });
        CPPUNIT_ASSERT(holds);
    }

    void concurrent_callers_get_their_own_responses()
    {
        constexpr int callers = 60;
        auto settings = slow_settings();
        settings.slots = 8;
        running_engine const engine{settings};
        std::atomic<int> right{0};
        std::vector<std::thread> threads;
        threads.reserve(callers);
        for (int caller = 0; caller < callers; ++caller)
        {
            threads.emplace_back(
                [&, caller]
                {
                    auto const id = std::to_string(caller);
                    auto const content = id + " [tokens=20]";
                    auto const got =
                        stream_chat(engine.port, chat_body(content, true),
                                    {{"X-Request-Id", id}});
                    auto const own = got.text() == expected_response(content) &&
                                     got.events[0]["id"] == "chatcmpl-" + id;
                    right += own && got.done ? 1 : 0;
                });
        }
        for (auto& thread : threads)
        {
            thread.join();
        }
        CPPUNIT_ASSERT_EQUAL(callers, right.load());
        auto const stats = get(engine.port, "/stats");
        CPPUNIT_ASSERT_EQUAL(std::size_t{callers}, stats["runs"].size());
        CPPUNIT_ASSERT_EQUAL(callers * 20,
                             stats["tokens_generated"].get<int>());
    }

    void larger_priority_goes_first()
    {
        std::mutex mutex;
        std::vector<std::string> order;
        scheduler_hooks const hooks{[&](generation_request const& request)
                                    {
                                        std::lock_guard const lock{mutex};
                                        order.push_back(request.request);
                                        return std::int64_t{0};
                                    },
                                    [] { return 1.0; },
                                    [](std::int64_t, std::int64_t) {
                                    }};
        auto settings = slow_settings();
        settings.slots = 1;
        scheduler batch{settings, clock::monotonic(), hooks};
        auto const first = batch.submit({"first", 1, 0, "", 0, 1'000'000});
        first->wait(0, {10'000});
        auto const low = batch.submit({"low", 1, -1, "", 0, 1});
        auto const high = batch.submit({"high", 1, 1, "", 0, 1});
        auto const mid = batch.submit({"mid", 1, 0, "", 0, 1});
        batch.cancel(first);
        wait_until(
            [&]
            { return low->wait(1, {1}).state == generation_state::finished; });
        std::vector<std::string> const expected{"first", "high", "mid", "low"};
        CPPUNIT_ASSERT(order == expected);
    }

    // More requests arrive than the queue holds. The response to a rejected
    // request must prove that it was not run, so that it can be sent elsewhere;
    // and a caller who disconnects must free the slot.
    void a_full_queue_runs_nothing()
    {
        auto settings = slow_settings();
        settings.slots = 1;
        settings.max_queue = 0;
        running_engine const engine{settings};
        received refused;
        stream_chat(engine.port, chat_body("long [tokens=900000]", true),
                    {{"X-Request-Id", "long"}},
                    [&](received const&)
                    {
                        refused =
                            stream_chat(engine.port, chat_body("short", true),
                                        {{"X-Request-Id", "short"}});
                        return false;
                    });
        CPPUNIT_ASSERT_EQUAL(503, refused.status);
        auto const not_run = refused.headers.find("Caperpath-Not-Run");
        CPPUNIT_ASSERT(not_run != refused.headers.end());
        CPPUNIT_ASSERT_EQUAL(std::string{"true"}, not_run->second);
        CPPUNIT_ASSERT(refused.headers.contains("Retry-After"));
        wait_until([&]
                   { return get(engine.port, "/stats")["cancelled"] == 1; });
        auto const runs = get(engine.port, "/stats")["runs"];
        CPPUNIT_ASSERT(runs == nlohmann::json({{"long", 1}}));
        auto const next =
            stream_chat(engine.port, chat_body("y [tokens=2]", true));
        CPPUNIT_ASSERT(next.done);
    }

    void repeated_prompts_are_cached()
    {
        running_engine const engine{instant_settings()};
        auto const body = chat_body(std::string(640, 'p') + "[tokens=1]", true);
        auto const cached = [&]
        {
            auto const got = stream_chat(engine.port, body);
            return got.events
                .back()["usage"]["prompt_tokens_details"]["cached_tokens"]
                .get<int>();
        };
        CPPUNIT_ASSERT_EQUAL(0, cached());
        CPPUNIT_ASSERT_EQUAL(160, cached());
        // The last token is sent before the slot is free.
        wait_until([&] { return get(engine.port, "/load")["running"] == 0; });
        auto const load = get(engine.port, "/load");
        CPPUNIT_ASSERT_EQUAL(160, load["cache_tokens"].get<int>());
        auto const told = get(engine.port, "/cache-events?after=3");
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, told["events"].size());
        CPPUNIT_ASSERT_EQUAL(10, told["next"].get<int>());
        CPPUNIT_ASSERT_EQUAL(4, told["events"][0]["seq"].get<int>());
    }

    void invalid_requests_report_the_field()
    {
        running_engine const engine{instant_settings()};
        auto const field = [&](std::string const& path,
                               nlohmann::json const& body,
                               httplib::Headers const& headers = {})
        {
            auto const answer = post(engine.port, path, body, headers);
            CPPUNIT_ASSERT_EQUAL(400, answer->status);
            auto const error = nlohmann::json::parse(answer->body)["error"];
            auto const message = error["message"].get<std::string>();
            return message.substr(0, message.find(':'));
        };
        auto const chat = std::string{"/v1/chat/completions"};
        auto body = chat_body("c", true);
        CPPUNIT_ASSERT_EQUAL(std::string{"Caperpath-Attempt"},
                             field(chat, body, {{"Caperpath-Attempt", "x"}}));
        CPPUNIT_ASSERT_EQUAL(std::string{"X-Request-Id"},
                             field(chat, body, {{"X-Request-Id", "\xff"}}));
        body["max_tokens"] = -1;
        CPPUNIT_ASSERT_EQUAL(std::string{"/max_tokens"}, field(chat, body));
        CPPUNIT_ASSERT_EQUAL(std::string{"/"}, field(chat, "no object"));
        CPPUNIT_ASSERT_EQUAL(std::string{"/kind"},
                             field("/faults", {{"kind", "cutt"}}));
        CPPUNIT_ASSERT_EQUAL(std::string{"/fencing"},
                             field("/orders", {{"order", "leave"}}));
    }

    void example_settings_load()
    {
        std::vector<config::fault> faults;
        auto const settings =
            parse_engine_settings(example("engine.json"), faults);
        CPPUNIT_ASSERT(faults.empty());
        CPPUNIT_ASSERT_EQUAL(std::string{"asistente"}, settings.model);
        auto wrong = example("engine.json");
        wrong["listen"] = "localhost:0";
        wrong["slotz"] = 1;
        parse_engine_settings(wrong, faults);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, faults.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_test);
