#include "gateway/fleet_site.hpp"
#include "gateway/reserved_port.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace caperpath;
using namespace caperpath::gateway;

/// Servers that stop within the head of their response.
class cut_head_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(cut_head_test);
    CPPUNIT_TEST(a_head_that_is_cut_is_an_error);
    CPPUNIT_TEST(a_cut_head_on_a_kept_connection_is_an_error);
    CPPUNIT_TEST(a_cut_head_behind_an_interim_response_is_an_error);
    CPPUNIT_TEST(a_cut_head_of_a_stream_is_an_error);
    CPPUNIT_TEST(a_cut_head_through_a_relay_is_an_error);
    CPPUNIT_TEST(a_cut_head_of_an_exited_server_is_an_error);
    CPPUNIT_TEST_SUITE_END();

    using request = fake_server::request;
    using ending = script::ending;

    static std::string head(request const& got, std::string const& framing)
    {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " +
               std::string{got["Request-Id"]} +
               "\r\nUpstream-Signature: s1\r\n" + framing + "\r\n";
    }

    /// The places at which a head is cut: around each line end and within
    /// lines.
    static std::vector<std::size_t> cuts_of(std::string const& text)
    {
        std::vector<std::size_t> cuts{1, 8, 12, 14};
        for (std::size_t at = text.find("\r\n"); at != std::string::npos;
             at = text.find("\r\n", at + 2))
        {
            for (std::size_t const cut : {at, at + 1, at + 2, at + 5})
            {
                if (cut < text.size())
                {
                    cuts.push_back(cut);
                }
            }
        }
        return cuts;
    }

    static std::vector<std::string> const& framings()
    {
        static std::vector<std::string> const all{
            "", "Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n",
            "Content-Type: text/event-stream\r\n"};
        return all;
    }

    /// The pieces of a head that is cut, with a pause within.
    static std::vector<std::string> pieces_of(std::string const& text,
                                              std::size_t cut)
    {
        return {text.substr(0, cut / 2), text.substr(cut / 2, cut - cut / 2)};
    }

    /// Calls `check` with each framing, end and a number of cut.
    template <class Check>
    static void for_each_cut(Check check, std::vector<ending> const& ends)
    {
        request sample;
        sample.set("Request-Id", "r100");
        for (auto const& framing : framings())
        {
            auto const count = cuts_of(head(sample, framing)).size();
            for (std::size_t i = 0; i < count; ++i)
            {
                for (auto const end : ends)
                {
                    check(framing, i, end);
                }
            }
        }
    }

    /// A site whose only server cuts heads as told.
    struct scenario
    {
        explicit scenario(std::string const& service = "app") : service{service}
        {
            this->add_server();
            this->site.wait_ready();
        }

        /// Replaces the server: one that fails often is set aside.
        void renew()
        {
            this->site.store.put("servers", "i-" + std::to_string(this->number),
                                 std::nullopt);
            this->number += 1;
            this->add_server();
            this->site.run_for(duration{10});
        }

        void add_server()
        {
            this->site.add_server(
                "i-" + std::to_string(this->number), this->service,
                [this](request const& got) { return this->respond(got); });
        }

        script respond(request const& got)
        {
            this->runs += 1;
            if (this->served_first > 0)
            {
                this->served_first -= 1;
                return {{complete_response(got, 200, "done")}};
            }
            auto const text = head(got, this->framing);
            auto const cuts = cuts_of(text);
            auto pieces =
                pieces_of(text, cuts[std::min(this->cut, cuts.size() - 1)]);
            if (!this->before.empty())
            {
                pieces.insert(pieces.begin(), this->before);
            }
            return {pieces, this->end};
        }

        /// A path of its own for each cut: requests whose servers break off
        /// again and again are rejected.
        std::string path(std::string const& prefix) const
        {
            return prefix + std::to_string(this->number);
        }

        int order()
        {
            return this->site
                .send(
                    fleet_site::request("POST", this->path("/order/"), "", "x"))
                .status;
        }

        std::string service;
        int number{1};
        std::string framing;
        std::size_t cut{};
        std::string before;
        ending end{ending::close};
        int served_first{};
        int runs{};
        fleet_site site;
    };

    // Guards against a success with an empty or short body that is framed as
    // whole.
    void a_head_that_is_cut_is_an_error()
    {
        scenario here;
        for_each_cut(
            [&here](std::string const& framing, std::size_t cut, ending end)
            {
                here.renew();
                here.framing = framing;
                here.cut = cut;
                here.end = end;
                CPPUNIT_ASSERT_EQUAL(502, here.order());
            },
            {ending::close, ending::reset});
    }

    // The same for the second response of a connection.
    void a_cut_head_on_a_kept_connection_is_an_error()
    {
        scenario here;
        for_each_cut(
            [&here](std::string const& framing, std::size_t cut, ending end)
            {
                here.renew();
                here.framing = framing;
                here.cut = cut;
                here.end = end;
                here.served_first = 1;
                CPPUNIT_ASSERT_EQUAL(200, here.order());
                CPPUNIT_ASSERT_EQUAL(502, here.order());
            },
            {ending::close});
    }

    // Guards against an interim response that is taken for the final one.
    void a_cut_head_behind_an_interim_response_is_an_error()
    {
        std::string const interim =
            "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n";
        scenario here;
        here.before = interim;
        for_each_cut(
            [&here](std::string const& framing, std::size_t cut, ending end)
            {
                here.renew();
                here.framing = framing;
                here.cut = cut;
                here.end = end;
                CPPUNIT_ASSERT_EQUAL(502, here.order());
            },
            {ending::close});
        // Nothing follows the interim response.
        for (auto const* const pieces : {"", "H"})
        {
            fleet_site site;
            site.add_server("i-1", "app",
                            [&](request const&) {
                                return script{{interim, pieces}, ending::close};
                            });
            site.wait_ready();
            CPPUNIT_ASSERT_EQUAL(
                502, site.send(fleet_site::request("POST", "/order/1", "", "x"))
                         .status);
        }
    }

    // Guards against a stream without events that ends as complete.
    void a_cut_head_of_a_stream_is_an_error()
    {
        // A new site after a few cuts: the prompts of a customer whose servers
        // break off again and again are rejected.
        constexpr int cuts_per_site = 3;
        std::unique_ptr<scenario> here;
        int cuts = 0;
        for_each_cut(
            [&](std::string const& framing, std::size_t cut, ending end)
            {
                if (cuts % cuts_per_site == 0)
                {
                    here = std::make_unique<scenario>("llm");
                }
                cuts += 1;
                here->renew();
                here->framing = framing;
                here->cut = cut;
                here->end = end;
                auto const got = here->site.send(
                    fleet_site::prompt(here->path("/chat/"), 10, 10));
                CPPUNIT_ASSERT_EQUAL(502, got.status);
            },
            {ending::close});
    }

    // The same for a server that only another router reaches.
    void a_cut_head_through_a_relay_is_an_error()
    {
        fleet_site relay;
        fleet_site site{relay};
        reserved_port const refusing;
        std::string framing;
        std::size_t cut{};
        fake_server server{
            site.loop, [&](request const& got)
            {
                auto const text = head(got, framing);
                auto const cuts = cuts_of(text);
                return script{
                    pieces_of(text, cuts[std::min(cut, cuts.size() - 1)]),
                    ending::close};
            }};
        relay.list_server("i-1", "app", server.address());
        site.list_server("i-1", "app", refusing.address());
        CPPUNIT_ASSERT(
            relay.run_until([&] { return relay.readiness() == 200; }));
        auto const run_both = [&](std::function<bool()> const& done)
        {
            CPPUNIT_ASSERT(site.run_until(
                [&]
                {
                    relay.loop.run_for(std::chrono::milliseconds{1});
                    return done();
                }));
        };
        run_both([&] { return site.readiness() == 200; });
        for_each_cut(
            [&](std::string const& next_framing, std::size_t next_cut, ending)
            {
                framing = next_framing;
                cut = next_cut;
                auto const caller = site.begin(
                    fleet_site::request("POST", "/order/1", "", "x"));
                run_both([&] { return caller->has_input(); });
                auto const bytes = caller->input().data();
                std::string const got{static_cast<char const*>(bytes.data()),
                                      bytes.size()};
                CPPUNIT_ASSERT_EQUAL(std::string{"HTTP/1.1 502"},
                                     got.substr(0, 12));
            },
            {ending::close});
        CPPUNIT_ASSERT(!server.requests.empty());
    }

    // The process of the server ends: its kernel closes the connections in
    // order. Guards against an end that looks planned.
    void a_cut_head_of_an_exited_server_is_an_error()
    {
        for (auto const& framing : framings())
        {
            for (std::size_t const cut : {2U, 5U, 6U, 9U, 10U})
            {
                scenario here;
                here.framing = framing;
                here.cut = cut;
                here.end = ending::exit;
                CPPUNIT_ASSERT_EQUAL(502, here.order());
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cut_head_test);
