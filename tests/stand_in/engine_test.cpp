#include "stand_in/chat_client.hpp"

#include "stand_in/answer.hpp"
#include "stand_in/engine.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

using namespace caperpath;
using namespace caperpath::stand_in;
using namespace stand_in_test;

namespace
{

using offsets = std::vector<std::int64_t>;

// An engine that takes no time, so that the tests wait for nothing.
engine_settings quick()
{
    engine_settings settings;
    settings.prefill_per_1000_tokens = {0};
    settings.first_token = {0};
    settings.token_time = {0};
    settings.load_lag = {0};
    settings.event_lag = {0};
    settings.event_gap_percent = 0;
    return settings;
}

// An engine on which a long answer is still open when the test looks at it.
engine_settings paced()
{
    auto settings = quick();
    settings.token_time = {1};
    return settings;
}

struct running_engine
{
    explicit running_engine(engine_settings const& settings)
        : fake{settings, clock::monotonic()}, port{fake.start()}
    {
    }

    engine fake;
    int port;
};

std::string whole_answer(std::string const& content)
{
    auto const prompt = content + "\n";
    return answer_text(prompt, 0, answer_length(prompt));
}

template <class Holds>
void wait_until(Holds const& holds)
{
    while (!holds())
    {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
}

} // namespace

class engine_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(engine_test);
    CPPUNIT_TEST(answers_follow_from_the_prompt);
    CPPUNIT_TEST(callers_at_once_get_their_own_answers);
    CPPUNIT_TEST(larger_priority_goes_first);
    CPPUNIT_TEST(a_cut_stream_goes_on_at_its_offset);
    CPPUNIT_TEST(a_silent_stream_leaves_new_ones_working);
    CPPUNIT_TEST(chunks_can_be_made_wrong);
    CPPUNIT_TEST(a_full_queue_runs_nothing);
    CPPUNIT_TEST(cancel_ends_one_attempt);
    CPPUNIT_TEST(leaving_ends_open_streams_whole);
    CPPUNIT_TEST(old_orders_are_refused_only_where_checked);
    CPPUNIT_TEST(repeated_prompts_are_cached);
    CPPUNIT_TEST(faults_end_when_cleared);
    CPPUNIT_TEST(wrong_requests_name_the_field);
    CPPUNIT_TEST(example_settings_load);
    CPPUNIT_TEST_SUITE_END();

    void answers_follow_from_the_prompt()
    {
        running_engine const engine{quick()};
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
                RC_ASSERT(got.text() == answer_text(prompt, first, last));
                RC_ASSERT(got.events.back()["usage"]["completion_tokens"] ==
                          last);
                auto const& end = got.events[got.events.size() - 2];
                RC_ASSERT(end["choices"][0]["finish_reason"] ==
                          (length > limit ? "length" : "stop"));
                body["stream"] = false;
                auto const whole = nlohmann::json::parse(
                    post(engine.port, "/v1/chat/completions", body)->body);
                RC_ASSERT(whole["choices"][0]["message"]["content"] ==
                          answer_text(prompt, 0, last));
                RC_ASSERT(whole["usage"]["prompt_tokens"] ==
                          prompt_tokens(prompt));
            });
        CPPUNIT_ASSERT(holds);
    }

    void callers_at_once_get_their_own_answers()
    {
        constexpr int callers = 60;
        auto settings = paced();
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
                    auto const own = got.text() == whole_answer(content) &&
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
        auto settings = paced();
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

    // The engine's machine dies in the middle of an answer: the connection is
    // closed and the caller sees half a repair plan. Sent again with the offset
    // of the first missing token, the rest comes and nothing twice.
    void a_cut_stream_goes_on_at_its_offset()
    {
        running_engine const engine{quick()};
        auto const content = std::string{"plan [tokens=9]"};
        post(engine.port, "/faults",
             {{"kind", "cut"}, {"after_tokens", 4}, {"count", 1}});
        auto const half = stream_chat(engine.port, chat_body(content, true));
        CPPUNIT_ASSERT(!half.done);
        CPPUNIT_ASSERT(half.offsets() == (offsets{0, 1, 2, 3}));
        auto const rest = stream_chat(engine.port, chat_body(content, true),
                                      {{"Caperpath-Resume-Offset", "4"}});
        CPPUNIT_ASSERT(rest.done);
        CPPUNIT_ASSERT_EQUAL(whole_answer(content), half.text() + rest.text());
    }

    // Something between the two ends has lost track of an open connection: it
    // stays open and gives nothing more, while new connections work. The caller
    // waits for a next word that never comes.
    void a_silent_stream_leaves_new_ones_working()
    {
        running_engine engine{quick()};
        post(engine.port, "/faults",
             {{"kind", "silent"}, {"after_tokens", 3}, {"count", 1}});
        received silent;
        std::atomic<std::size_t> heard{0};
        auto const listen = [&heard](received const& got)
        {
            heard = got.events.size();
            return true;
        };
        std::thread waiting{
            [&]
            {
                silent =
                    stream_chat(engine.port, chat_body("lost [tokens=8]", true),
                                {}, listen);
            }};
        wait_until([&] { return heard == 3; });
        auto const content = std::string{"new [tokens=5]"};
        auto const fresh = stream_chat(engine.port, chat_body(content, true));
        engine.fake.stop();
        waiting.join();
        CPPUNIT_ASSERT(fresh.done);
        CPPUNIT_ASSERT_EQUAL(whole_answer(content), fresh.text());
        CPPUNIT_ASSERT(!silent.done);
        CPPUNIT_ASSERT(silent.offsets() == (offsets{0, 1, 2}));
    }

    // A broken engine mixes its streams up. A router that passes chunks on
    // unread shows a designer somebody else's words, a word twice, or none.
    void chunks_can_be_made_wrong()
    {
        running_engine const engine{quick()};
        auto const strike = [&](std::string const& kind)
        {
            post(engine.port, "/faults",
                 {{"kind", kind}, {"after_tokens", 1}, {"count", 1}});
            return stream_chat(engine.port, chat_body("x [tokens=3]", true),
                               {{"X-Request-Id", "own"}});
        };
        CPPUNIT_ASSERT(strike("repeat_chunk").offsets() ==
                       (offsets{0, 1, 1, 2}));
        CPPUNIT_ASSERT(strike("skip_chunk").offsets() == (offsets{0, 2}));
        auto const mixed = strike("wrong_id");
        CPPUNIT_ASSERT_EQUAL(std::string{"chatcmpl-not-own"},
                             mixed.events[1]["id"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(
            std::string{"own"},
            mixed.events[2]["caperpath"]["request"].get<std::string>());
        auto const clean = strike("slow");
        CPPUNIT_ASSERT(clean.offsets() == (offsets{0, 1, 2}));
    }

    // More requests come than the engine's queue holds. The one that is turned
    // away must be known not to have run, so that it may be sent elsewhere; and
    // a caller who hangs up must free his slot.
    void a_full_queue_runs_nothing()
    {
        auto settings = paced();
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

    void cancel_ends_one_attempt()
    {
        running_engine const engine{paced()};
        nlohmann::json other;
        nlohmann::json own;
        auto const got = stream_chat(
            engine.port, chat_body("z [tokens=900000]", true),
            {{"X-Request-Id", "r"}, {"Caperpath-Attempt", "2"}},
            [&](received const&)
            {
                if (own.is_null())
                {
                    auto const cancel = [&](int attempt)
                    {
                        return nlohmann::json::parse(
                            post(engine.port, "/cancel",
                                 {{"request", "r"}, {"attempt", attempt}})
                                ->body);
                    };
                    other = cancel(1);
                    own = cancel(2);
                }
                return true;
            });
        CPPUNIT_ASSERT(!got.done);
        CPPUNIT_ASSERT_EQUAL(0, other["cancelled"].get<int>());
        CPPUNIT_ASSERT_EQUAL(1, own["cancelled"].get<int>());
    }

    // An engine is told to leave while it answers. The technician who reads
    // keeps his stream to the end; new work is turned away unrun.
    void leaving_ends_open_streams_whole()
    {
        running_engine const engine{paced()};
        auto const content = std::string{"open [tokens=100]"};
        auto const order = [&](char const* kind)
        {
            post(engine.port, "/orders", {{"fencing", 1}, {"order", kind}});
        };
        received refused;
        auto const open = stream_chat(
            engine.port, chat_body(content, true), {},
            [&](received const&)
            {
                if (refused.status == 0)
                {
                    order("leave");
                    refused = stream_chat(engine.port, chat_body("new", true));
                }
                return true;
            });
        CPPUNIT_ASSERT(open.done);
        CPPUNIT_ASSERT_EQUAL(whole_answer(content), open.text());
        CPPUNIT_ASSERT_EQUAL(503, refused.status);
        CPPUNIT_ASSERT(refused.headers.contains("Caperpath-Leaving"));
        CPPUNIT_ASSERT(refused.headers.contains("Caperpath-Not-Run"));
        CPPUNIT_ASSERT(get(engine.port, "/load")["leaving"].get<bool>());
        order("stay");
        CPPUNIT_ASSERT(
            stream_chat(engine.port, chat_body("a [tokens=1]", true)).done);
    }

    // A router that was paused wakes up and gives an order that a later holder
    // of the duty has overtaken. An engine that checks refuses it; one that
    // doesn't obeys, and the wrong model is loaded.
    void old_orders_are_refused_only_where_checked()
    {
        for (auto const checks : {true, false})
        {
            auto settings = quick();
            settings.checks_fencing = checks;
            running_engine const engine{settings};
            auto const load = [&](int fencing, char const* model)
            {
                return post(engine.port, "/orders",
                            {{"fencing", fencing},
                             {"order", "load_model"},
                             {"model", model}})
                    ->status;
            };
            CPPUNIT_ASSERT_EQUAL(200, load(7, "new"));
            CPPUNIT_ASSERT_EQUAL(200, load(7, "again"));
            CPPUNIT_ASSERT_EQUAL(checks ? 409 : 200, load(6, "old"));
            auto body = chat_body("m [tokens=1]", true);
            body["model"] = "old";
            CPPUNIT_ASSERT_EQUAL(checks ? 404 : 200,
                                 stream_chat(engine.port, body).status);
        }
    }

    void repeated_prompts_are_cached()
    {
        running_engine const engine{quick()};
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
        // The last token is out before the slot is free.
        wait_until([&] { return get(engine.port, "/load")["running"] == 0; });
        auto const load = get(engine.port, "/load");
        CPPUNIT_ASSERT_EQUAL(160, load["cache_tokens"].get<int>());
        auto const told = get(engine.port, "/cache-events?after=3");
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, told["events"].size());
        CPPUNIT_ASSERT_EQUAL(10, told["next"].get<int>());
        CPPUNIT_ASSERT_EQUAL(4, told["events"][0]["seq"].get<int>());
    }

    // The engine is gone for a while: no call gets even an answer, and streams
    // that were open break. Once it is back, all works again.
    void faults_end_when_cleared()
    {
        running_engine const engine{quick()};
        auto const ask = [&]
        {
            return stream_chat(engine.port, chat_body("b [tokens=2]", true));
        };
        post(engine.port, "/faults", {{"kind", "outage"}});
        CPPUNIT_ASSERT_EQUAL(0, ask().status);
        CPPUNIT_ASSERT(get(engine.port, "/load").is_null());
        httplib::Client{"127.0.0.1", engine.port}.Delete("/faults");
        CPPUNIT_ASSERT(ask().done);
        post(engine.port, "/faults", {{"kind", "error"}, {"count", 2}});
        CPPUNIT_ASSERT_EQUAL(500, ask().status);
        CPPUNIT_ASSERT_EQUAL(500, ask().status);
        CPPUNIT_ASSERT(ask().done);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             get(engine.port, "/stats")["runs"].size());
    }

    void wrong_requests_name_the_field()
    {
        running_engine const engine{quick()};
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
