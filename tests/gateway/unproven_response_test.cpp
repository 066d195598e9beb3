#include "gateway/fleet_site.hpp"
#include "gateway/reserved_port.hpp"

#include <boost/beast/core/buffers_to_string.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <vector>

using namespace caperpath;
using namespace caperpath::gateway;

/// Faulty servers that run a request and send, in place of its response, bytes
/// that form one and do not bear the server's signature.
class unproven_response_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unproven_response_test);
    CPPUNIT_TEST(no_framing_or_status_makes_a_success_without_a_signature);
    CPPUNIT_TEST(nothing_else_counts_as_the_signature);
    CPPUNIT_TEST(a_response_to_head_needs_the_signature);
    CPPUNIT_TEST(a_repeatable_request_goes_to_another_server);
    CPPUNIT_TEST(a_stream_does_not_begin_without_a_signature);
    CPPUNIT_TEST(a_resumable_stream_begins_at_another_server);
    CPPUNIT_TEST(a_resumption_without_a_signature_is_not_joined);
    CPPUNIT_TEST(a_resumption_goes_on_at_the_next_server);
    CPPUNIT_TEST(a_relayed_response_needs_the_signature);
    CPPUNIT_TEST(a_failure_without_an_id_is_not_passed_on);
    CPPUNIT_TEST(a_promise_without_the_servers_word_is_not_passed_on);
    CPPUNIT_TEST(a_late_rejection_without_an_id_does_not_count);
    CPPUNIT_TEST(a_rejection_without_an_id_counts_on_a_new_connection);
    CPPUNIT_TEST(a_failure_with_the_id_is_passed_on);
    CPPUNIT_TEST(a_server_that_does_so_again_is_set_aside);
    CPPUNIT_TEST(what_such_a_response_tells_of_its_server_is_not_used);
    CPPUNIT_TEST_SUITE_END();

    using request = fake_server::request;
    using ending = script::ending;

    static constexpr char signature[] = "Upstream-Signature: s1\r\n";

    static std::string id_of(request const& got)
    {
        return "Request-Id: " + std::string{got["Request-Id"]} + "\r\n";
    }

    static std::string event(int id)
    {
        return "id: " + std::to_string(id) + "\ndata: t" + std::to_string(id) +
               "\n\n";
    }

    /// How a response delimits its body.
    enum class framing
    {
        length,
        chunks,
        connection
    };

    static constexpr framing all_framings[]{framing::length, framing::chunks,
                                            framing::connection};

    static script response(std::string const& status, std::string const& fields,
                           framing how, std::string const& body,
                           std::string const& trailer = "")
    {
        auto const head = "HTTP/1.1 " + status + "\r\n" + fields;
        switch (how)
        {
        case framing::length:
            return {{head + "Content-Length: " + std::to_string(body.size()) +
                     "\r\n\r\n" + body}};
        case framing::chunks:
            return {{head + "Transfer-Encoding: chunked\r\n\r\n" +
                     chunk_of(body) + "0\r\n" + trailer + "\r\n"}};
        case framing::connection:
            break;
        }
        return {{head + "\r\n" + body}, ending::close};
    }

    static void assert_unknown(received_response const& got)
    {
        CPPUNIT_ASSERT_EQUAL(502, got.status);
        CPPUNIT_ASSERT(got.body.empty());
        CPPUNIT_ASSERT(got.head.find("Upstream-Signature") ==
                       std::string::npos);
    }

    /// A site whose only server responds by `reply`.
    struct scenario
    {
        explicit scenario(std::string const& service = "app")
        {
            this->server = &this->site.add_server("i-1", service,
                                                  [this](request const& got)
                                                  { return this->reply(got); });
            this->site.wait_ready();
        }

        received_response order()
        {
            return this->site.send(
                fleet_site::request("POST", "/order/1", "", "x"));
        }

        /// An order with `faulty` is an error, and the next one is served.
        void assert_unknown_order(fake_server::responder faulty)
        {
            this->reply = std::move(faulty);
            assert_unknown(this->order());
            this->reply = [](request const& got)
            {
                return script{{complete_response(got, 200, "done")}};
            };
            CPPUNIT_ASSERT_EQUAL(std::string{"done"}, this->order().body);
        }

        fake_server::responder reply;
        fleet_site site;
        fake_server* server{};
    };

    // Guards against a success that its server never gave.
    void no_framing_or_status_makes_a_success_without_a_signature()
    {
        scenario here;
        for (auto const* const status :
             {"200 OK", "201 Created", "206 Partial", "299 Any", "302 Found"})
        {
            for (auto const how : all_framings)
            {
                for (auto const with_id : {true, false})
                {
                    here.server->requests.clear();
                    here.assert_unknown_order(
                        [&](request const& got) {
                            return response(status, with_id ? id_of(got) : "",
                                            how, "wrong");
                        });
                    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                                         here.server->requests.size());
                }
            }
        }
    }

    // The same for fields that look like the signature, or leave open which one
    // it is.
    void nothing_else_counts_as_the_signature()
    {
        scenario here;
        auto const several =
            std::string{signature} + "Upstream-Signature: s2\r\n";
        for (auto const& fields :
             {std::string{"Upstream-Signature:\r\n"}, several,
              std::string{"X-Upstream-Signature: s1\r\n"}})
        {
            here.assert_unknown_order(
                [&](request const& got) {
                    return response("200 OK", id_of(got) + fields,
                                    framing::length, "wrong");
                });
        }
        here.assert_unknown_order(
            [](request const& got)
            {
                return response("200 OK", id_of(got), framing::chunks, "wrong",
                                signature);
            });
        for (auto const* const before :
             {"100 Continue\r\n",
              "200 OK\r\nRequest-Id: old\r\nContent-Length: 0\r\n"})
        {
            here.assert_unknown_order(
                [before](request const& got)
                {
                    auto all = response("200 OK", id_of(got), framing::length,
                                        "wrong");
                    all.pieces.front() = std::string{"HTTP/1.1 "} + before +
                                         signature + "\r\n" +
                                         all.pieces.front();
                    return all;
                });
        }
    }

    // The same for responses without a body.
    void a_response_to_head_needs_the_signature()
    {
        scenario here;
        for (auto const is_signed : {true, false})
        {
            here.reply = [is_signed](request const& got) -> script
            {
                return {{"HTTP/1.1 200 OK\r\n" + id_of(got) +
                         (is_signed ? signature : "") +
                         "Content-Length: 5\r\n\r\n"}};
            };
            auto const caller =
                here.site.begin(fleet_site::request("HEAD", "/read/1"));
            CPPUNIT_ASSERT(
                here.site.run_until([&] { return caller->has_input(); }));
            auto const head =
                boost::beast::buffers_to_string(caller->input().data());
            CPPUNIT_ASSERT_EQUAL(
                std::string{is_signed ? "HTTP/1.1 200" : "HTTP/1.1 502"},
                head.substr(0, 12));
            here.reply = [is_signed](request const& got) -> script
            {
                return {{"HTTP/1.1 204 No Content\r\n" + id_of(got) +
                         (is_signed ? signature : "") + "\r\n"}};
            };
            CPPUNIT_ASSERT_EQUAL(is_signed ? 204 : 502, here.order().status);
        }
    }

    // Guards against an error for a request that another server can respond to.
    void a_repeatable_request_goes_to_another_server()
    {
        fleet_site site;
        int runs = 0;
        auto const faulty_once = [&runs](request const& got)
        {
            runs += 1;
            return runs == 1 ? response("200 OK", "", framing::length, "wrong")
                             : script{{complete_response(got, 200, "done")}};
        };
        site.add_server("i-1", "app", faulty_once);
        site.add_server("i-2", "app", faulty_once);
        site.wait_ready();
        auto const got = site.send(fleet_site::request("GET", "/read/1"));
        CPPUNIT_ASSERT_EQUAL(200, got.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, got.body);
        CPPUNIT_ASSERT_EQUAL(2, runs);
    }

    // Guards against events that are passed on before their head was checked.
    void a_stream_does_not_begin_without_a_signature()
    {
        scenario here{"llm"};
        auto const prompt = fleet_site::prompt("/chat/1", 500, 20);
        for (auto const how : all_framings)
        {
            here.reply = [how](request const& got)
            {
                return response("200 OK",
                                id_of(got) +
                                    "Content-Type: text/event-stream\r\n",
                                how, event(1) + event(2));
            };
            assert_unknown(here.site.send(prompt));
            here.reply = whole_stream;
            CPPUNIT_ASSERT(here.site.send(prompt).complete);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, here.server->requests.size());
    }

    /// Servers of "llm" of which the n-th that runs a request responds by the
    /// n-th of `replies`.
    struct engines
    {
        engines(std::vector<fake_server::responder> replies, int count)
            : replies{std::move(replies)}
        {
            for (auto i = 0; i < count; ++i)
            {
                this->site.add_server("i-" + std::to_string(i), "llm",
                                      [this](request const& got)
                                      {
                                          this->runs += 1;
                                          return this->replies.at(this->runs -
                                                                  1)(got);
                                      });
            }
            this->site.wait_ready();
        }

        received_response resume()
        {
            return this->site.send(fleet_site::prompt("/resume/1", 500, 20));
        }

        std::vector<fake_server::responder> replies;
        std::size_t runs{};
        fleet_site site;
    };

    static script unsigned_events(request const& got)
    {
        return response("200 OK",
                        id_of(got) + "Content-Type: text/event-stream\r\n",
                        framing::chunks, event(3) + event(4));
    }

    static script broken_stream(request const& got)
    {
        return {{stream_head(got), chunk_of(event(1) + event(2)),
                 "20\r\nid: 3\nda"},
                ending::close};
    }

    static script rest_of_stream(request const& got)
    {
        return {{stream_head(got), chunk_of(event(3)), chunk_of("")}};
    }

    static script whole_stream(request const& got)
    {
        return {{stream_head(got), chunk_of(event(1)), chunk_of("")}};
    }

    // Guards against an error for a stream that another server can begin.
    void a_resumable_stream_begins_at_another_server()
    {
        engines all{{unsigned_events, whole_stream}, 2};
        auto const got = all.resume();
        CPPUNIT_ASSERT_EQUAL(200, got.status);
        CPPUNIT_ASSERT(got.complete);
        CPPUNIT_ASSERT_EQUAL(event(1), got.body);
    }

    // Guards against a second server's unsigned events behind the signed head
    // of the first one.
    void a_resumption_without_a_signature_is_not_joined()
    {
        engines all{{broken_stream, unsigned_events}, 2};
        auto const got = all.resume();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, all.runs);
        CPPUNIT_ASSERT_EQUAL(200, got.status);
        CPPUNIT_ASSERT(!got.complete);
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2), got.body);
    }

    // Guards against a signed resumption that is taken for an unproven one.
    void a_resumption_goes_on_at_the_next_server()
    {
        engines all{{broken_stream, rest_of_stream}, 3};
        auto const got = all.resume();
        CPPUNIT_ASSERT(got.complete);
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3), got.body);
    }

    // Guards against a path on which the bytes of a server are passed on
    // unchecked: the router without a path to the server judges them.
    void a_relayed_response_needs_the_signature()
    {
        reserved_port const refusing;
        fleet_site reaching;
        fleet_site cut_off{reaching};
        auto is_signed = false;
        auto& server = reaching.add_server(
            "i-1", "app",
            [&is_signed](request const& got)
            {
                return response("200 OK",
                                id_of(got) + (is_signed ? signature : ""),
                                framing::length, "body");
            });
        cut_off.list_server("i-1", "app", refusing.address());
        auto const run_both = [&](auto const& done)
        {
            CPPUNIT_ASSERT(cut_off.run_until(
                [&]
                {
                    reaching.loop.run_for(std::chrono::milliseconds{1});
                    return done();
                }));
        };
        reaching.wait_ready();
        cut_off.wait_ready();
        for (auto const* const expected : {"HTTP/1.1 502", "HTTP/1.1 200"})
        {
            auto const caller =
                cut_off.begin(fleet_site::request("POST", "/order/1", "", "x"));
            run_both([&] { return caller->has_input(); });
            auto const head =
                boost::beast::buffers_to_string(caller->input().data());
            CPPUNIT_ASSERT_EQUAL(std::string{expected}, head.substr(0, 12));
            caller->close();
            is_signed = true;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server.requests.size());
    }

    // Guards against a failure that belongs to no request: callers do not
    // repeat what was answered with 404.
    void a_failure_without_an_id_is_not_passed_on()
    {
        scenario here;
        for (auto const* const status : {"400 Bad", "404 Not Found", "500 Any"})
        {
            here.assert_unknown_order(
                [status](request const&)
                { return response(status, "", framing::length, "wrong"); });
        }
    }

    // Guards against a caller that sends again what may have run.
    void a_promise_without_the_servers_word_is_not_passed_on()
    {
        scenario here;
        for (auto const* const status :
             {"408 Timeout", "429 Too Many", "503 Unavailable"})
        {
            here.assert_unknown_order(
                [status](request const& got) {
                    return response(status, id_of(got), framing::length,
                                    "wrong");
                });
        }
    }

    static constexpr char rejection[] =
        "HTTP/1.1 503 Unavailable\r\nNot-Executed: 1\r\n"
        "Content-Length: 0\r\n\r\n";

    // A server rejects an earlier request of the connection once more, without
    // its id, and runs this one. Guards against "not run" for what has run, and
    // against a second run.
    void a_late_rejection_without_an_id_does_not_count()
    {
        fleet_site site;
        std::size_t runs = 0;
        auto const respond = [&runs](request const& got) -> script
        {
            runs += 1;
            auto const done = complete_response(got, 200, "done");
            return {{runs == 1 ? done : rejection + done}};
        };
        site.add_server("i-1", "app", respond);
        site.wait_ready();
        auto const order = [&site]
        {
            return site.send(fleet_site::request("POST", "/order/1", "", "x"))
                .status;
        };
        CPPUNIT_ASSERT_EQUAL(200, order());
        site.add_server("i-2", "app", respond);
        CPPUNIT_ASSERT_EQUAL(502, order());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, runs);
    }

    // Guards against an error for what a server says that it did not run.
    void a_rejection_without_an_id_counts_on_a_new_connection()
    {
        scenario here;
        here.reply = [](request const&)
        {
            return script{{rejection}, ending::close};
        };
        CPPUNIT_ASSERT_EQUAL(503, here.order().status);
    }

    // Guards against hiding what a server says of the request.
    void a_failure_with_the_id_is_passed_on()
    {
        scenario here;
        for (auto const status : {400, 404, 500})
        {
            here.reply = [status](request const& got)
            {
                return response(std::to_string(status) + " Any", id_of(got),
                                framing::length, "why");
            };
            auto const got = here.order();
            CPPUNIT_ASSERT_EQUAL(status, got.status);
            CPPUNIT_ASSERT_EQUAL(std::string{"why"}, got.body);
        }
    }

    // Guards against a faulty server that goes on to get every second request.
    void a_server_that_does_so_again_is_set_aside()
    {
        constexpr std::size_t most = 10;
        fleet_site site;
        auto& faulty = site.add_server(
            "i-1", "app",
            [](request const&)
            { return response("200 OK", "", framing::length, "wrong"); });
        site.add_server(
            "i-2", "app",
            [](request const& got)
            { return script{{complete_response(got, 200, "done")}}; });
        site.wait_ready();
        for (auto i = 0; i < 40; ++i)
        {
            auto const got = site.send(fleet_site::request("GET", "/read/1"));
            CPPUNIT_ASSERT_EQUAL(200, got.status);
            CPPUNIT_ASSERT_EQUAL(std::string{"done"}, got.body);
        }
        CPPUNIT_ASSERT(!faulty.requests.empty());
        CPPUNIT_ASSERT(faulty.requests.size() <= most);
    }

    // Guards against a server that gets no more requests because of bytes that
    // are not its response.
    void what_such_a_response_tells_of_its_server_is_not_used()
    {
        scenario here;
        here.reply = [](request const&)
        {
            return response("200 OK",
                            "Server-Leaving: 1\r\nServer-Limit: 0.1\r\n",
                            framing::length, "wrong");
        };
        assert_unknown(here.order());
        here.reply = [](request const& got)
        {
            return script{{complete_response(got, 200, "done")}};
        };
        CPPUNIT_ASSERT_EQUAL(200, here.order().status);
        CPPUNIT_ASSERT_EQUAL(200, here.order().status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unproven_response_test);
