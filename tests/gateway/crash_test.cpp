#include "gateway/crash_rows.hpp"
#include "gateway/fleet_site.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace caperpath;
using namespace caperpath::gateway;

class crash_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(crash_test);
    CPPUNIT_TEST(a_request_that_crashes_servers_is_no_longer_sent);
    CPPUNIT_TEST(a_stream_that_crashes_servers_is_no_longer_sent);
    CPPUNIT_TEST(a_router_that_starts_knows_what_crashes_servers);
    CPPUNIT_TEST(a_router_is_not_ready_before_it_knows_what_crashes_servers);
    CPPUNIT_TEST(a_router_that_cannot_read_what_crashes_servers_gets_ready);
    CPPUNIT_TEST(a_first_crash_is_told_when_the_caller_got_no_answer);
    CPPUNIT_TEST(what_another_router_learned_holds_here);
    CPPUNIT_TEST(what_was_learned_in_an_outage_is_told_after_it);
    CPPUNIT_TEST(a_reset_connection_is_no_crash);
    CPPUNIT_TEST(a_whole_answer_clears_a_request);
    CPPUNIT_TEST(a_request_on_probation_is_sent_once_at_a_time);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int fleet_size = 8;

    static bool is_fatal(fake_server::request const& got)
    {
        return got.target().find("fatal") != std::string::npos;
    }

    /// A server that ends under requests whose path says so.
    static script fragile(fake_server::request const& got)
    {
        if (is_fatal(got))
        {
            return {{}, script::end::crash};
        }
        return {{whole_answer(got, 200, "fine")}};
    }

    struct world
    {
        explicit world(std::unique_ptr<fleet_site> site) : here{std::move(site)}
        {
        }

        explicit world(fake_server::answerer const& answer = fragile)
            : here{std::make_unique<fleet_site>()}
        {
            this->add_servers(answer);
        }

        void add_servers(fake_server::answerer const& answer)
        {
            this->servers.clear();
            for (int i = 0; i < fleet_size; ++i)
            {
                auto const number = std::to_string(this->added++);
                this->servers.push_back(
                    &this->here->add_server("app-" + number, "app", answer));
                this->servers.push_back(
                    &this->here->add_server("llm-" + number, "llm", answer));
            }
            CPPUNIT_ASSERT(this->here->run_until(
                [&] { return this->here->readiness() == 200; }));
        }

        std::ptrdiff_t crashed() const
        {
            return std::count_if(this->servers.begin(), this->servers.end(),
                                 [](auto const* one) { return one->crashed; });
        }

        std::size_t sends() const
        {
            std::size_t count = 0;
            for (auto const* one : this->servers)
            {
                count += one->requests.size();
            }
            return count;
        }

        int closed_by_router() const
        {
            auto count = 0;
            for (auto const* one : this->servers)
            {
                count += one->closed_by_router;
            }
            return count;
        }

        got_answer read(std::string const& name)
        {
            return this->here->send(
                fleet_site::request("GET", "/read/" + name));
        }

        bool has_row(std::size_t rows)
        {
            return this->here->run_until(
                [&] { return this->here->store.own_rows("crash/") == rows; });
        }

        std::unique_ptr<fleet_site> here;
        std::vector<fake_server*> servers;
        int added{};
    };

    // Guards against a request that ends one server after the other, each time
    // its caller sends it again.
    void a_request_that_crashes_servers_is_no_longer_sent()
    {
        world all;
        for (int i = 0; i < fleet_size; ++i)
        {
            all.read("fatal");
        }
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{3}, all.crashed());
        auto const last = all.read("fatal");
        CPPUNIT_ASSERT_EQUAL(429, last.status);
        CPPUNIT_ASSERT(last.head.find("Retry-After") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(200, all.read("other").status);
    }

    void a_stream_that_crashes_servers_is_no_longer_sent()
    {
        world all;
        for (int i = 0; i < fleet_size; ++i)
        {
            all.here->send(fleet_site::prompt("/chat/fatal", 100, 10));
        }
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{3}, all.crashed());
    }

    // Guards against routers that forget with each start, or that each learn
    // what others know at the price of more servers.
    void a_router_that_starts_knows_what_crashes_servers()
    {
        world first;
        first.read("fatal");
        first.read("fatal");
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{3}, first.crashed());
        CPPUNIT_ASSERT(first.has_row(1));
        world second{fleet_site::after_crash(std::move(first.here))};
        second.added = first.added;
        second.add_servers(fragile);
        CPPUNIT_ASSERT(second.here->run_until(
            [&] { return second.read("fatal").status == 429; }));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, second.crashed());
    }

    // Guards against a router that gets callers, and crashes a server, before
    // it has read what the others know.
    void a_router_is_not_ready_before_it_knows_what_crashes_servers()
    {
        world first;
        first.read("fatal");
        first.read("fatal");
        CPPUNIT_ASSERT(first.has_row(1));
        first.here->store.silent_for = "crash/";
        auto const next = fleet_site::after_crash(std::move(first.here));
        next->add_server("app-next", "app", fragile);
        next->add_server("llm-next", "llm", fragile);
        // It has its shares: nothing else keeps it from being ready.
        CPPUNIT_ASSERT(next->run_until(
            [&]
            {
                return next->send(fleet_site::prompt("/chat/other", 100, 10))
                           .status == 200;
            }));
        CPPUNIT_ASSERT_EQUAL(503, next->readiness());
        next->store.silent_for.clear();
        CPPUNIT_ASSERT(
            next->run_until([&] { return next->readiness() == 200; }));
        CPPUNIT_ASSERT_EQUAL(
            429, next->send(fleet_site::request("GET", "/read/fatal")).status);
    }

    // Guards against a fleet that stays out of rotation because these rows
    // alone cannot be read.
    void a_router_that_cannot_read_what_crashes_servers_gets_ready()
    {
        fleet_site site{false};
        site.store.silent_for = "crash/";
        site.put_configuration(1);
        site.add_server("app-1", "app", fragile);
        site.add_server("llm-1", "llm", fragile);
        CPPUNIT_ASSERT(site.run_until([&] { return site.readiness() == 200; }));
    }

    // Guards against a request that may run once only: each router sees one
    // crash of it.
    void a_first_crash_is_told_when_the_caller_got_no_answer()
    {
        world all;
        all.here->send(fleet_site::request("POST", "/order/fatal"));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, all.crashed());
        CPPUNIT_ASSERT(all.has_row(1));
    }

    // Guards against routers that each crash servers to learn the same.
    void what_another_router_learned_holds_here()
    {
        world all;
        auto const request = fleet::fingerprint_of(
            {"taller", "GET", "site.example", "/read/fatal", ""});
        all.here->store.put(store::own_table(crash_table), crash_key(request),
                            encode_evidence({0, 3}));
        CPPUNIT_ASSERT(all.here->run_until(
            [&] { return all.read("fatal").status == 429; }));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, all.crashed());
    }

    // Guards against evidence that is lost because the store was away when it
    // was found.
    void what_was_learned_in_an_outage_is_told_after_it()
    {
        world all;
        all.here->store.reachable = false;
        all.read("fatal");
        all.read("fatal");
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{3}, all.crashed());
        CPPUNIT_ASSERT_EQUAL(429, all.read("fatal").status);
        CPPUNIT_ASSERT(all.here->store.own_rows("crash/") == 0);
        all.here->store.reachable = true;
        CPPUNIT_ASSERT(all.has_row(1));
    }

    // Guards against refusing requests because connections to servers were
    // reset on the way.
    void a_reset_connection_is_no_crash()
    {
        world all{[](fake_server::request const&)
                  {
                      return script{{}, script::end::reset};
                  }};
        for (int i = 0; i < fleet_size; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(502, all.read("same").status);
        }
        CPPUNIT_ASSERT(all.here->store.own_rows("crash/") == 0);
    }

    // Guards against refusing a popular request that was at the crashes of
    // others.
    void a_whole_answer_clears_a_request()
    {
        auto crashes = 2;
        world all{[&crashes](fake_server::request const& got) -> script
                  {
                      if (crashes > 0)
                      {
                          crashes -= 1;
                          return {{}, script::end::crash};
                      }
                      return {{whole_answer(got, 200, "fine")}};
                  }};
        CPPUNIT_ASSERT_EQUAL(502, all.read("popular").status);
        CPPUNIT_ASSERT_EQUAL(200, all.read("popular").status);
        crashes = 2;
        CPPUNIT_ASSERT_EQUAL(502, all.read("popular").status);
        CPPUNIT_ASSERT_EQUAL(200, all.read("popular").status);
    }

    // Guards against many repeats that crash many servers before the first of
    // them has ended.
    void a_request_on_probation_is_sent_once_at_a_time()
    {
        auto crashes = 2;
        world all{[&crashes](fake_server::request const&) -> script
                  {
                      crashes -= 1;
                      return {{},
                              crashes >= 0 ? script::end::crash
                                           : script::end::silent};
                  }};
        CPPUNIT_ASSERT_EQUAL(502, all.read("same").status);
        auto const before = all.sends();
        auto const waiting =
            all.here->begin(fleet_site::request("GET", "/read/same"));
        CPPUNIT_ASSERT(
            all.here->run_until([&] { return all.sends() > before; }));
        auto const refused = all.read("same");
        CPPUNIT_ASSERT_EQUAL(503, refused.status);
        CPPUNIT_ASSERT(refused.head.find("Retry-After") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(before + 1, all.sends());
        waiting->close();
        CPPUNIT_ASSERT(
            all.here->run_until([&] { return all.closed_by_router() == 1; }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_test);
