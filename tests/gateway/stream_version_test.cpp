#include "gateway/fleet_site.hpp"
#include "gateway/resumable_prompt.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace caperpath;
using namespace caperpath::gateway;

/// Streams that go on at another server while several software versions serve.
class stream_version_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stream_version_test);
    CPPUNIT_TEST(a_stream_goes_on_at_the_version_that_began_it);
    CPPUNIT_TEST(a_stream_ends_if_no_server_has_its_version);
    CPPUNIT_TEST(a_caller_resumes_at_the_version_that_began_its_stream);
    CPPUNIT_TEST(a_caller_resumes_although_its_first_router_is_gone);
    CPPUNIT_TEST(an_unknown_stream_is_not_resumed_at_one_of_two_versions);
    CPPUNIT_TEST(another_customers_stream_is_unknown);
    CPPUNIT_TEST_SUITE_END();

    using request = fake_server::request;

    static std::string event(int id)
    {
        return "id: " + std::to_string(id) + "\ndata: t\n\n";
    }

    /// What servers got, by version.
    struct server_log
    {
        int begun{};   ///< streams from their first event on
        int resumed{}; ///< streams that go on
        std::string version_of_latest;
    };

    /// Adds a server. It breaks new streams off after their second event, and
    /// completes resumed ones.
    static fake_server& add(fleet_site& site, std::string const& id,
                            std::string const& version, server_log& log)
    {
        return site.add_server(
            id, "llm",
            [version, &log](request const& got)
            {
                log.version_of_latest = version;
                if (got.find("Last-Event-Id") == got.end())
                {
                    log.begun += 1;
                    return script{
                        {stream_head(got), chunk_of(event(1) + event(2))},
                        script::ending::reset};
                }
                log.resumed += 1;
                return script{
                    {stream_head(got), chunk_of(event(3)), chunk_of("")}};
            },
            version);
    }

    static void run_until_ready(fleet_site& site)
    {
        CPPUNIT_ASSERT(site.run_until([&] { return site.readiness() == 200; }));
    }

    static void run_for(fleet_site& site, std::chrono::milliseconds span)
    {
        auto const until = std::chrono::steady_clock::now() + span;
        CPPUNIT_ASSERT(site.run_until(
            [&] { return std::chrono::steady_clock::now() >= until; }));
    }

    // Guards against a stream that holds events of two software versions.
    void a_stream_goes_on_at_the_version_that_began_it()
    {
        for (int i = 0; i < 4; ++i)
        {
            fleet_site site;
            server_log logs[3];
            add(site, "i-1", "v1", logs[0]);
            add(site, "i-2", "v2", logs[1]);
            add(site, "i-3", i % 2 == 0 ? "v1" : "v2", logs[2]);
            run_until_ready(site);
            auto const got =
                site.send(resumable_prompt("r" + std::to_string(i)));
            std::string began;
            std::string went_on;
            for (auto const& log : logs)
            {
                began = log.begun > 0 ? log.version_of_latest : began;
                went_on = log.resumed > 0 ? log.version_of_latest : went_on;
            }
            // The version with a single server has none left.
            auto const alone = began != (i % 2 == 0 ? "v1" : "v2");
            CPPUNIT_ASSERT_EQUAL(alone ? std::string{} : began, went_on);
            CPPUNIT_ASSERT_EQUAL(!alone, got.complete);
        }
    }

    // Guards against going on at another version because there is no choice.
    void a_stream_ends_if_no_server_has_its_version()
    {
        fleet_site site;
        server_log first;
        server_log second;
        add(site, "i-1", "v1", first);
        add(site, "i-2", "v2", second);
        run_until_ready(site);
        auto const got = site.send(resumable_prompt("r1"));
        CPPUNIT_ASSERT(!got.complete);
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2), got.body);
        CPPUNIT_ASSERT_EQUAL(0, first.resumed + second.resumed);
    }

    // A caller takes a stream up at the router that began it.
    void a_caller_resumes_at_the_version_that_began_its_stream()
    {
        fleet_site site;
        server_log old;
        server_log next;
        add(site, "i-1", "v1", old);
        run_until_ready(site);
        CPPUNIT_ASSERT(!site.send(resumable_prompt("r1")).complete);
        for (auto const* const id : {"i-2", "i-3", "i-4", "i-5"})
        {
            add(site, id, "v2", next);
        }
        run_for(site, std::chrono::milliseconds{200});
        // The server is set aside for a time after its failure.
        received_response got;
        CPPUNIT_ASSERT(site.run_until(
            [&]
            {
                got = site.send(resumable_prompt("r2", "r1"));
                return got.status == 200;
            }));
        CPPUNIT_ASSERT(got.complete);
        CPPUNIT_ASSERT_EQUAL(1, old.resumed);
        CPPUNIT_ASSERT_EQUAL(0, next.resumed);
    }

    // The router that began a stream is killed, and its caller takes the stream
    // up at another one. Guards against a lottery of versions, and against
    // refusing all streams of a router that is gone.
    void a_caller_resumes_although_its_first_router_is_gone()
    {
        auto first = std::make_unique<fleet_site>();
        fleet_site second{*first};
        first->add_peer(second);
        server_log old;
        server_log next;
        for (auto* const site : {first.get(), &second})
        {
            add(*site, "i-1", "v1", old);
            add(*site, "i-2", "v1", old);
        }
        run_until_ready(*first);
        run_until_ready(second);
        auto const turn = [&]
        {
            first->loop.run_for(std::chrono::milliseconds{1});
            return false;
        };
        // Both read the rows of the other.
        auto const known =
            std::chrono::steady_clock::now() + std::chrono::seconds{6};
        CPPUNIT_ASSERT(second.run_until(
            [&]
            {
                turn();
                return std::chrono::steady_clock::now() >= known;
            }));
        auto caller = first->begin(resumable_prompt("r1"));
        CPPUNIT_ASSERT(first->run_until([&] { return caller->has_input(); }));
        run_for(*first, std::chrono::milliseconds{100});
        caller.reset(); // belongs to the loop of the first site
        first.reset();
        for (auto const* const id : {"i-3", "i-4", "i-5", "i-6"})
        {
            add(second, id, "v2", next);
        }
        run_for(second, std::chrono::milliseconds{200});
        auto const got = second.send(resumable_prompt("r2", "r1"));
        CPPUNIT_ASSERT_EQUAL(200, got.status);
        CPPUNIT_ASSERT(got.complete);
        CPPUNIT_ASSERT_EQUAL(0, next.resumed);
    }

    // Guards against guessing the version of a stream.
    void an_unknown_stream_is_not_resumed_at_one_of_two_versions()
    {
        fleet_site site;
        server_log all;
        add(site, "i-1", "v1", all);
        add(site, "i-2", "v2", all);
        run_until_ready(site);
        auto const got = site.send(resumable_prompt("r2", "unknown"));
        CPPUNIT_ASSERT_EQUAL(503, got.status);
        CPPUNIT_ASSERT(got.head.find("Retry-After") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(0, all.resumed);
    }

    // Guards against taking the id of another customer's request for one's own.
    void another_customers_stream_is_unknown()
    {
        fleet_site site;
        server_log old;
        server_log next;
        add(site, "i-1", "v1", old);
        run_until_ready(site);
        site.send(resumable_prompt("r1"));
        add(site, "i-2", "v2", next);
        run_for(site, std::chrono::milliseconds{200});
        auto other = resumable_prompt("r2", "r1");
        other.replace(other.find("Bearer key"), 10, "Bearer second");
        CPPUNIT_ASSERT_EQUAL(503, site.send(other).status);
        CPPUNIT_ASSERT_EQUAL(0, old.resumed + next.resumed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_version_test);
