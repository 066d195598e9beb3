#include "router/caller.hpp"
#include "router/site.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <future>
#include <thread>

using namespace caperpath;
using namespace caperpath::tests;

class stream_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stream_test);
    CPPUNIT_TEST(broken_engine_loses_no_token);
    CPPUNIT_TEST(stream_that_cannot_resume_ends_in_an_error);
    CPPUNIT_TEST(disconnected_caller_is_cancelled_and_billed);
    CPPUNIT_TEST(draining_engine_gets_no_new_requests);
    CPPUNIT_TEST(passed_deadline_is_reported);
    CPPUNIT_TEST(chat_without_a_response_may_have_run);
    CPPUNIT_TEST(response_without_a_durable_bill_is_not_complete);
    CPPUNIT_TEST_SUITE_END();

    static token_count total(site const& here)
    {
        token_count sum = 0;
        for (auto const& bill : here.ledger())
        {
            sum += bill.tokens;
        }
        return sum;
    }

    // An engine sends a chunk of another request, sends one twice, skips one,
    // breaks the connection or goes silent. Guards against foreign, duplicate
    // or missing tokens in the caller's stream.
    void broken_engine_loses_no_token()
    {
        for (std::string const kind : {"wrong_id", "repeat_chunk", "skip_chunk",
                                       "cut", "silent", "error", "outage"})
        {
            site here;
            std::string const prompt = "what does E4 mean [tokens=40]";
            for (std::size_t i = 0; i < 2; ++i)
            {
                nlohmann::json fault{{"kind", kind}, {"count", 1}};
                if (kind != "error" && kind != "outage")
                {
                    fault["after_tokens"] = 12;
                }
                site::post_fault(here.engine_address(i), fault);
            }
            auto const got = chat(here.router_address(0), here.key(), prompt,
                                  {.stream = true});
            CPPUNIT_ASSERT_EQUAL_MESSAGE(kind, expected_text(prompt), got.text);
            CPPUNIT_ASSERT_MESSAGE(kind, got.done);
            CPPUNIT_ASSERT_MESSAGE(kind, here.wait_for_bills(1));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                kind, stand_in::prompt_tokens(prompt + "\n") + 3 * 40,
                total(here));
        }
    }

    // Every engine breaks every stream. Guards against an incomplete response
    // that looks complete.
    void stream_that_cannot_resume_ends_in_an_error()
    {
        site here;
        for (std::size_t i = 0; i < 2; ++i)
        {
            site::post_fault(here.engine_address(i),
                             {{"kind", "cut"}, {"after_tokens", 2}});
        }
        auto const got = chat(here.router_address(0), here.key(),
                              "long plan [tokens=100]", {.stream = true});
        CPPUNIT_ASSERT_EQUAL(200, got.status);
        CPPUNIT_ASSERT(!got.done);
        CPPUNIT_ASSERT_EQUAL(std::string{"backend_failed"}, got.stream_error);
        auto const whole = expected_text("long plan [tokens=100]");
        CPPUNIT_ASSERT_EQUAL(whole.substr(0, got.text.size()), got.text);
    }

    // A caller disconnects after a few tokens. Guards against generating the
    // rest, which would take an engine's slot and the customer's tokens.
    void disconnected_caller_is_cancelled_and_billed()
    {
        auto engine = site::fast_engine();
        engine.token_time = {5};
        site here{1, engine};
        chat(here.router_address(0), here.key(), "all of it [tokens=800]",
             {.stream = true, .disconnect_after = 10});
        CPPUNIT_ASSERT(here.wait_for_bills(1));
        auto const bill = here.ledger().at(0);
        CPPUNIT_ASSERT(bill.completion_tokens >= 9);
        CPPUNIT_ASSERT(bill.completion_tokens < 800);
        int cancelled = 0;
        for (int polls = 0; polls < 100 && cancelled == 0; ++polls)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds{20});
            for (std::size_t i = 0; i < 2; ++i)
            {
                cancelled += here.engine_stats(i)["cancelled"].get<int>();
            }
        }
        CPPUNIT_ASSERT_EQUAL(1, cancelled);
    }

    // An operator drains an engine. Its streams complete; guards against new
    // requests to it, which would be cut off when it stops.
    void draining_engine_gets_no_new_requests()
    {
        auto engine = site::fast_engine();
        engine.token_time = {5};
        site here{1, engine};
        std::string const prompt = "a long plan [tokens=120]";
        std::vector<std::future<reply>> streams;
        streams.reserve(4);
        for (int i = 0; i < 4; ++i)
        {
            streams.push_back(std::async(std::launch::async,
                                         [&]
                                         {
                                             return chat(here.router_address(0),
                                                         here.key(), prompt,
                                                         {.stream = true});
                                         }));
        }
        auto const runs = [&here]
        {
            return here.engine_stats(0)["runs"].size();
        };
        for (int polls = 0; polls < 400 && runs() < 2; ++polls)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds{5});
        }
        here.command_engine(0, "leave");
        auto const before = runs();
        for (int i = 0; i < 6; ++i)
        {
            auto const got = chat(here.router_address(0), here.other_key(),
                                  "short [tokens=3]");
            CPPUNIT_ASSERT_EQUAL(200, got.status);
        }
        CPPUNIT_ASSERT_EQUAL(before, runs());
        for (auto& stream : streams)
        {
            auto const got = stream.get();
            CPPUNIT_ASSERT(got.done);
            CPPUNIT_ASSERT_EQUAL(expected_text(prompt), got.text);
        }
    }

    // Engines and the service accept the request and do not respond. The caller
    // gets an error at its deadline, not when a connection breaks.
    void passed_deadline_is_reported()
    {
        site here{1, site::fast_engine(), {600}};
        for (std::size_t i = 0; i < 2; ++i)
        {
            site::post_fault(here.engine_address(i),
                             {{"kind", "silent"}, {"count", 1'000}});
        }
        site::post_fault(here.service_address(),
                         {{"kind", "silent"}, {"count", 1}});
        auto const late = chat(here.router_address(0), here.key(), "hello");
        CPPUNIT_ASSERT_EQUAL(504, late.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, late.outcome);
        auto const ordered = order(here.router_address(0), here.key(), "late");
        CPPUNIT_ASSERT_EQUAL(504, ordered.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, ordered.outcome);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, here.executions());
        CPPUNIT_ASSERT(here.ledger().empty() || total(here) == 0);
    }

    // Guards against "not-run" for a chat that an engine has received and not
    // yet responded to.
    void chat_without_a_response_may_have_run()
    {
        site here{1, site::fast_engine(), {600}};
        for (std::size_t i = 0; i < 2; ++i)
        {
            site::post_fault(
                here.engine_address(i),
                {{"kind", "delay"}, {"ms", 5'000}, {"count", 1'000}});
        }
        auto const got = chat(here.router_address(0), here.key(), "hello");
        CPPUNIT_ASSERT_EQUAL(504, got.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, got.outcome);
    }

    // The store goes down while a response is sent. If the router died before
    // the store recovered, the bill would be lost and the customer could spend
    // the same tokens again: more than it paid for.
    void response_without_a_durable_bill_is_not_complete()
    {
        site here;
        auto const router = here.router_address(0);
        for (auto const* key : {&here.key(), &here.other_key()})
        {
            CPPUNIT_ASSERT(chat(router, *key, "[tokens=3]").status == 200);
        }
        site::post_fault(
            here.platform_address(),
            {{"step", "commit"}, {"kind", "outage"}, {"ms", 60'000}});
        std::string const prompt = "while the store is down [tokens=5]";
        auto const withheld =
            chat(router, here.key(), prompt, {.stream = true});
        CPPUNIT_ASSERT(!withheld.done);
        CPPUNIT_ASSERT_EQUAL(std::string{"bill_pending"},
                             withheld.stream_error);
        auto const whole = chat(router, here.key(), prompt);
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, whole.outcome);
        auto const given =
            chat(router, here.other_key(), prompt, {.stream = true});
        CPPUNIT_ASSERT(given.done);
        site::clear_faults(here.platform_address());
        CPPUNIT_ASSERT(here.wait_for_bills(5));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_test);
