#include "gateway/fake_server.hpp"
#include "gateway/http_call.hpp"
#include "platform/store_port.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <optional>

using namespace caperpath;
using gateway::fake_server;
using gateway::script;

class store_port_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_port_test);
    CPPUNIT_TEST(a_scan_reads_on_while_there_are_more_rows);
    CPPUNIT_TEST(a_list_reads_on_and_is_followed_from_its_first_answer);
    CPPUNIT_TEST(a_scan_that_breaks_off_gives_no_rows);
    CPPUNIT_TEST(a_scan_that_gets_no_further_gives_no_rows);
    CPPUNIT_TEST_SUITE_END();

    /// A store with rows `a` to `e` that answers with two of them at a time.
    struct world
    {
        boost::asio::io_context loop;
        int answers_left{100};
        std::string always; ///< the body of each answer, if not empty
        int calls{};
        fake_server server{loop, [this](fake_server::request const& got)
                           {
                               return this->answer(got);
                           }};
        store::async_port port{platform::make_store_port(
            std::make_shared<gateway::http_caller>(loop.get_executor(),
                                                   server.address()),
            server.address(), duration{1'000})};

        script answer(fake_server::request const& got)
        {
            this->calls += 1;
            if (this->calls > this->answers_left)
            {
                return {{gateway::whole_answer(got, 503, "{}")}};
            }
            if (!this->always.empty())
            {
                return {{gateway::whole_answer(got, 200, this->always)}};
            }
            std::string const target{got.target()};
            std::string const keys = "abcde";
            auto const at = target.find("source=");
            auto const first =
                at == std::string::npos ? 'a' : target.at(at + 7);
            auto const from = std::min(keys.find(first), keys.size());
            std::string rows;
            for (auto const key : keys.substr(from, 2))
            {
                rows += rows.empty() ? "" : ",";
                rows += std::string{R"({"key":")"} + key +
                        R"(","part":"","data":"","schema-version":1})";
            }
            auto const more = from + 2 < keys.size() ? "true" : "false";
            return {{gateway::whole_answer(
                got, 200,
                R"({"rows":[)" + rows + R"(],"has-more":)" + more +
                    R"(,"schema-version":)" + std::to_string(10 + this->calls) +
                    "}")}};
        }

        template <class Done>
        void run_until(Done const& done)
        {
            for (int i = 0; i < 1'000 && !done(); ++i)
            {
                this->loop.run_for(std::chrono::milliseconds{5});
            }
        }
    };

    // A large fleet has more heartbeat rows than one answer holds. Read in
    // part, the rest of the routers would count as gone, and each router would
    // use a larger part of what all share.
    void a_scan_reads_on_while_there_are_more_rows()
    {
        world here;
        std::optional<std::vector<store::row>> rows;
        here.port.scan(
            "a", "z",
            [&](std::variant<std::vector<store::row>, error> const& reply)
            { rows = std::get<std::vector<store::row>>(reply); });
        here.run_until([&] { return rows.has_value(); });
        CPPUNIT_ASSERT(rows);
        std::string keys;
        for (auto const& row : *rows)
        {
            keys += row.key;
        }
        CPPUNIT_ASSERT_EQUAL(std::string{"abcde"}, keys);
    }

    // A site has more servers than one answer holds. Cut off there, most of
    // them would never get a request; and what changes while the rest is read
    // must not be missed either.
    void a_list_reads_on_and_is_followed_from_its_first_answer()
    {
        world here;
        std::optional<store::feed_page> page;
        here.port.list("servers", duration{1'000},
                       [&](std::variant<store::feed_page, error> const& reply)
                       { page = std::get<store::feed_page>(reply); });
        here.run_until([&] { return page.has_value(); });
        CPPUNIT_ASSERT(page);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, page->rows.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{11}, page->version);
    }

    static void check_scan_fails(world& here)
    {
        std::optional<std::variant<std::vector<store::row>, error>> got;
        here.port.scan("a", "z", [&](auto const& reply) { got = reply; });
        here.run_until([&] { return got.has_value(); });
        CPPUNIT_ASSERT(got);
        CPPUNIT_ASSERT(std::holds_alternative<error>(*got));
    }

    // The store fails in the middle of a read. Half of the rows is no answer.
    void a_scan_that_breaks_off_gives_no_rows()
    {
        world here;
        here.answers_left = 2;
        check_scan_fails(here);
    }

    // The store says that there are more rows and never gives any, or rows
    // without a key to go on from. Taken for the end, what was read so far
    // would look like the whole fleet; asked for ever, the call would not end.
    void a_scan_that_gets_no_further_gives_no_rows()
    {
        for (auto const* body :
             {R"({"rows":[],"has-more":true})", R"({"has-more":true})",
              R"({"rows":[{"key":"a"}],"has-more":true})",
              R"({"rows":[{"data":""}],"has-more":true})",
              R"({"rows":["a"],"has-more":true})",
              R"({"rows":[{"key":"a"}],"has-more":"yes"})"})
        {
            world here;
            here.always = body;
            check_scan_fails(here);
            CPPUNIT_ASSERT_MESSAGE(body, here.calls <= 2);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_port_test);
