#include "stand_in/chat_client.hpp"
#include "stand_in/running_engine.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <thread>

using namespace caperpath;
using namespace caperpath::stand_in;
using namespace stand_in_test;

class engine_faults_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(engine_faults_test);
    CPPUNIT_TEST(a_cut_stream_resumes_at_its_offset);
    CPPUNIT_TEST(a_silent_stream_leaves_new_ones_working);
    CPPUNIT_TEST(chunks_can_be_corrupted);
    CPPUNIT_TEST(cancel_ends_one_attempt);
    CPPUNIT_TEST(draining_completes_open_streams);
    CPPUNIT_TEST(old_commands_are_rejected_only_with_the_check);
    CPPUNIT_TEST(faults_end_when_cleared);
    CPPUNIT_TEST_SUITE_END();

    // The engine's machine dies in the middle of a response and the connection
    // closes. A retry with the offset of the first missing token must return
    // the rest without duplicates.
    void a_cut_stream_resumes_at_its_offset()
    {
        running_engine const engine{instant_settings()};
        auto const content = std::string{"plan [tokens=9]"};
        post(engine.port, "/faults",
             {{"kind", "cut"}, {"after_tokens", 4}, {"count", 1}});
        auto const half = stream_chat(engine.port, chat_body(content, true));
        CPPUNIT_ASSERT(!half.done);
        CPPUNIT_ASSERT(half.offsets() == (offsets{0, 1, 2, 3}));
        auto const rest = stream_chat(engine.port, chat_body(content, true),
                                      {{"Caperpath-Resume-Offset", "4"}});
        CPPUNIT_ASSERT(rest.done);
        CPPUNIT_ASSERT_EQUAL(expected_response(content),
                             half.text() + rest.text());
    }

    // A network device has lost the state of an open connection: it stays open
    // but delivers nothing, while new connections work.
    void a_silent_stream_leaves_new_ones_working()
    {
        running_engine engine{instant_settings()};
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
        CPPUNIT_ASSERT_EQUAL(expected_response(content), fresh.text());
        CPPUNIT_ASSERT(!silent.done);
        CPPUNIT_ASSERT(silent.offsets() == (offsets{0, 1, 2}));
    }

    // A broken engine mixes up its streams. A router that forwards unchecked
    // chunks would deliver another caller's tokens, duplicates or gaps.
    void chunks_can_be_corrupted()
    {
        running_engine const engine{instant_settings()};
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

    void cancel_ends_one_attempt()
    {
        running_engine const engine{slow_settings()};
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

    // An engine starts draining while it streams a response. The open stream
    // must complete; new requests are rejected without being run.
    void draining_completes_open_streams()
    {
        running_engine const engine{slow_settings()};
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
        CPPUNIT_ASSERT_EQUAL(expected_response(content), open.text());
        CPPUNIT_ASSERT_EQUAL(503, refused.status);
        CPPUNIT_ASSERT(refused.headers.contains("Caperpath-Leaving"));
        CPPUNIT_ASSERT(refused.headers.contains("Caperpath-Not-Run"));
        CPPUNIT_ASSERT(get(engine.port, "/load")["leaving"].get<bool>());
        order("stay");
        CPPUNIT_ASSERT(
            stream_chat(engine.port, chat_body("a [tokens=1]", true)).done);
    }

    // A paused router resumes and sends a command after a later lease holder
    // has sent its own. An engine with the fencing check rejects it; one
    // without applies it and loads the wrong model.
    void old_commands_are_rejected_only_with_the_check()
    {
        for (auto const checks : {true, false})
        {
            auto settings = instant_settings();
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

    // During an outage no call gets a response, and open streams break. After
    // the faults are cleared, everything works again.
    void faults_end_when_cleared()
    {
        running_engine const engine{instant_settings()};
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_faults_test);
