#include "gateway/fleet_site.hpp"
#include "gateway/standalone_client.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <vector>

using namespace caperpath;
using namespace caperpath::gateway;

/// Responses whose connection ends in order before they are complete.
class truncated_response_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(truncated_response_test);
    CPPUNIT_TEST(a_stream_closed_within_an_event_is_not_seen_as_complete);
    CPPUNIT_TEST(a_stream_closed_within_an_event_resumes_on_another_server);
    CPPUNIT_TEST(whole_events_before_a_close_reach_a_slow_caller);
    CPPUNIT_TEST(a_stream_closed_by_a_crash_between_events_resumes);
    CPPUNIT_TEST(a_stream_closed_by_a_crash_is_not_seen_as_complete);
    CPPUNIT_TEST(a_response_closed_by_a_crash_is_an_error);
    CPPUNIT_TEST(a_repeatable_request_is_repeated_after_a_crash);
    CPPUNIT_TEST(a_crash_that_closes_in_order_is_recorded);
    CPPUNIT_TEST(a_stream_without_a_length_ends_with_its_connection);
    CPPUNIT_TEST(a_last_response_before_a_planned_exit_is_complete);
    CPPUNIT_TEST(a_closed_chunk_is_not_seen_as_complete);
    CPPUNIT_TEST(a_closed_length_is_not_seen_as_complete);
    CPPUNIT_TEST_SUITE_END();

    using request = fake_server::request;
    using ending = script::ending;

    static std::string event(int id)
    {
        return "id: " + std::to_string(id) + "\ndata: t" + std::to_string(id) +
               "\n\n";
    }

    /// The head of a response; without `framing` its connection ends it.
    static std::string head(request const& got, std::string const& framing = "")
    {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " +
               std::string{got["Request-Id"]} +
               "\r\nUpstream-Signature: s1\r\n" + framing + "\r\n";
    }

    /// Two servers of "llm" that respond with events without a length. The
    /// first one that gets a request sends `first` and ends by `end`; a resumed
    /// stream gets the third event.
    struct two_engines
    {
        two_engines(std::string first, ending end)
            : first{std::move(first)}, end{end}
        {
            for (auto const* const id : {"i-1", "i-2"})
            {
                this->site.add_server(id, "llm",
                                      [this](request const& got)
                                      { return this->respond(got); });
            }
            this->site.wait_ready();
        }

        script respond(request const& got)
        {
            this->runs += 1;
            if (got.find("Last-Event-Id") == got.end())
            {
                return {{head(got), this->first}, this->end};
            }
            this->resumed_after = std::string{got["Last-Event-Id"]};
            return {{head(got), event(3)}, ending::close};
        }

        received_response send(std::string const& path)
        {
            return this->site.send(fleet_site::prompt(path, 500, 20));
        }

        std::string first;
        ending end;
        int runs{};
        std::string resumed_after;
        fleet_site site;
    };

    static script respond_done(request const& got)
    {
        return {{complete_response(got, 200, "done")}};
    }

    // A server crashes within an event and its kernel closes the connection in
    // order. Guards against half an event in a response framed as complete.
    void a_stream_closed_within_an_event_is_not_seen_as_complete()
    {
        two_engines all{event(1) + event(2) + "id: 3\nda", ending::close};
        auto const got = all.send("/chat/1");
        CPPUNIT_ASSERT_EQUAL(200, got.status);
        CPPUNIT_ASSERT(!got.complete);
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2), got.body);
        CPPUNIT_ASSERT_EQUAL(1, all.runs);
    }

    // Guards against a resumable stream that ends where its server did, or that
    // lacks or repeats events.
    void a_stream_closed_within_an_event_resumes_on_another_server()
    {
        two_engines all{event(1) + event(2) + "id: 3\nda", ending::close};
        auto const got = all.send("/resume/1");
        CPPUNIT_ASSERT(got.complete);
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3), got.body);
        CPPUNIT_ASSERT_EQUAL(std::string{"2"}, all.resumed_after);
    }

    // Guards against discarding whole events that the caller has not read yet.
    void whole_events_before_a_close_reach_a_slow_caller()
    {
        constexpr std::size_t event_size = 400'000;
        constexpr int small_buffer = 4'096;
        auto const large =
            "id: 1\ndata: " + std::string(event_size, 'x') + "\n\n";
        two_engines all{large + "id: 2\nda", ending::close};
        standalone_client caller{all.site.callers_port(), small_buffer};
        caller.send(fleet_site::prompt("/chat/1", 500, 20));
        all.site.loop.run_for(std::chrono::milliseconds{100});
        received_response got;
        CPPUNIT_ASSERT(all.site.run_until(
            [&]
            {
                got = caller.received();
                return got.closed;
            }));
        CPPUNIT_ASSERT(got.body == large);
        CPPUNIT_ASSERT(!got.complete);
    }

    // A server crashes between two events. Guards against a resumable stream
    // that ends as complete although its server is gone.
    void a_stream_closed_by_a_crash_between_events_resumes()
    {
        two_engines all{event(1) + event(2), ending::exit};
        auto const got = all.send("/resume/1");
        CPPUNIT_ASSERT(got.complete);
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3), got.body);
        CPPUNIT_ASSERT_EQUAL(std::string{"2"}, all.resumed_after);
    }

    // The same for a stream that must not run again: it ends visibly
    // incomplete, with every event.
    void a_stream_closed_by_a_crash_is_not_seen_as_complete()
    {
        two_engines all{event(1) + event(2), ending::exit};
        auto const got = all.send("/chat/1");
        CPPUNIT_ASSERT(!got.complete);
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2), got.body);
        CPPUNIT_ASSERT_EQUAL(1, all.runs);
    }

    // Guards against forwarding the first part of a response as the whole one.
    void a_response_closed_by_a_crash_is_an_error()
    {
        fleet_site site;
        site.add_server("i-1", "app",
                        [](request const& got) {
                            return script{{head(got), "do"}, ending::exit};
                        });
        site.wait_ready();
        CPPUNIT_ASSERT_EQUAL(
            502,
            site.send(fleet_site::request("POST", "/order/1", "", "x")).status);
    }

    // Guards against an error for a request that another server can respond to.
    void a_repeatable_request_is_repeated_after_a_crash()
    {
        fleet_site site;
        int runs = 0;
        auto const crashes_once = [&runs](request const& got)
        {
            runs += 1;
            return runs == 1 ? script{{head(got), "do"}, ending::exit}
                             : respond_done(got);
        };
        site.add_server("i-1", "app", crashes_once);
        site.add_server("i-2", "app", crashes_once);
        site.wait_ready();
        auto const got = site.send(fleet_site::request("GET", "/read/1"));
        CPPUNIT_ASSERT_EQUAL(200, got.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, got.body);
    }

    // Guards against requests that crash one server after the other because no
    // crash is seen where connections are closed in order.
    void a_crash_that_closes_in_order_is_recorded()
    {
        two_engines all{event(1) + "id: 2\nda", ending::exit};
        all.send("/chat/1");
        CPPUNIT_ASSERT(all.site.run_until(
            [&] { return all.site.store.count_router_rows("crash/") == 1; }));
    }

    // Guards against an error for a stream that is complete when its server
    // closes the connection.
    void a_stream_without_a_length_ends_with_its_connection()
    {
        two_engines all{event(1) + event(2), ending::close};
        for (auto const* const path : {"/chat/1", "/resume/1"})
        {
            auto const got = all.send(path);
            CPPUNIT_ASSERT(got.complete);
            CPPUNIT_ASSERT_EQUAL(event(1) + event(2), got.body);
        }
        CPPUNIT_ASSERT_EQUAL(2, all.runs);
    }

    // A draining server ends its process after its last response. Guards
    // against taking this for a crash.
    void a_last_response_before_a_planned_exit_is_complete()
    {
        constexpr std::size_t pieces = 40;
        fleet_site site;
        fake_server* server{};
        server = &site.add_server(
            "i-1", "app",
            [&site, &server](request const& got)
            {
                site.store.put("servers", "i-1",
                               R"({"backend":"app","address":")" +
                                   server->address() +
                                   R"(","zone":"z","batch-slots":4,)"
                                   R"("state":"draining"})");
                std::vector<std::string> parts(pieces, "x");
                parts.insert(parts.begin(), head(got));
                return script{std::move(parts), ending::exit};
            });
        site.wait_ready();
        auto const got =
            site.send(fleet_site::request("POST", "/order/1", "", "x"));
        CPPUNIT_ASSERT_EQUAL(200, got.status);
        CPPUNIT_ASSERT_EQUAL(std::string(pieces, 'x'), got.body);
        CPPUNIT_ASSERT(server->crashed);
    }

    // Guards against a chunked stream that is cut in order and framed as
    // complete.
    void a_closed_chunk_is_not_seen_as_complete()
    {
        fleet_site site;
        site.add_server("i-1", "llm",
                        [](request const& got)
                        {
                            return script{
                                {stream_head(got), chunk_of(event(1)),
                                 chunk_of(event(2)) + "40\r\nid: 3\nda"},
                                ending::close};
                        });
        site.wait_ready();
        auto const got = site.send(fleet_site::prompt("/chat/1", 500, 20));
        CPPUNIT_ASSERT(!got.complete);
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2), got.body);
    }

    // The same for a response with a length.
    void a_closed_length_is_not_seen_as_complete()
    {
        fleet_site site;
        site.add_server("i-1", "app",
                        [](request const& got) {
                            return script{
                                {head(got, "Content-Length: 9\r\n"), "do"},
                                ending::close};
                        });
        site.wait_ready();
        CPPUNIT_ASSERT_EQUAL(
            502,
            site.send(fleet_site::request("POST", "/order/1", "", "x")).status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(truncated_response_test);
