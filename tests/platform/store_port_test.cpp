#include "gateway/fake_server.hpp"
#include "gateway/http_client.hpp"
#include "gateway/worker.hpp"
#include "platform/store_port.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <future>
#include <memory>
#include <optional>

using namespace caperpath;
using gateway::fake_server;
using gateway::script;

class store_port_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_port_test);
    CPPUNIT_TEST(scan_reads_all_pages);
    CPPUNIT_TEST(list_reads_all_pages_and_has_the_first_version);
    CPPUNIT_TEST(interrupted_scan_returns_an_error);
    CPPUNIT_TEST(scan_without_progress_returns_an_error);
    CPPUNIT_TEST(servers_are_read_while_a_configuration_is_parsed);
    CPPUNIT_TEST_SUITE_END();

    /// A store with rows `a` to `e` that returns at most two rows per response.
    struct fake_store
    {
        boost::asio::io_context loop;
        int responses_left{100};
        std::string fixed_body; ///< body of each response, if not empty
        int calls{};
        std::shared_ptr<gateway::worker> background{
            std::make_shared<gateway::worker>(loop.get_executor())};
        fake_server server{loop, [this](fake_server::request const& got)
                           {
                               return this->respond(got);
                           }};
        store::async_port port{platform::make_store_port(
            std::make_shared<gateway::http_client>(loop.get_executor(),
                                                   server.address()),
            server.address(), duration{1'000}, background)};

        script respond(fake_server::request const& got)
        {
            this->calls += 1;
            if (this->calls > this->responses_left)
            {
                return {{gateway::complete_response(got, 503, "{}")}};
            }
            if (!this->fixed_body.empty())
            {
                return {
                    {gateway::complete_response(got, 200, this->fixed_body)}};
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
            return {{gateway::complete_response(
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

    // A large fleet has more heartbeat rows than one response holds. If a scan
    // returned only the first ones, the other routers would count as gone and
    // each router would use a larger part of the shared limits.
    void scan_reads_all_pages()
    {
        fake_store fake;
        std::optional<std::vector<store::row>> rows;
        fake.port.scan(
            "a", "z",
            [&](std::variant<std::vector<store::row>, error> const& reply)
            { rows = std::get<std::vector<store::row>>(reply); });
        fake.run_until([&] { return rows.has_value(); });
        CPPUNIT_ASSERT(rows);
        std::string keys;
        for (auto const& row : *rows)
        {
            keys += row.key;
        }
        CPPUNIT_ASSERT_EQUAL(std::string{"abcde"}, keys);
    }

    // A site has more servers than one response holds. If a list returned only
    // the first ones, the others would never get a request. Changes made during
    // the read must not be missed either.
    void list_reads_all_pages_and_has_the_first_version()
    {
        fake_store fake;
        std::optional<store::feed_page> page;
        fake.port.list("servers", duration{1'000},
                       [&](std::variant<store::feed_page, error> const& reply)
                       { page = std::get<store::feed_page>(reply); });
        fake.run_until([&] { return page.has_value(); });
        CPPUNIT_ASSERT(page);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, page->rows.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{11}, page->version);
    }

    static void check_scan_fails(fake_store& fake)
    {
        std::optional<std::variant<std::vector<store::row>, error>> got;
        fake.port.scan("a", "z", [&](auto const& reply) { got = reply; });
        fake.run_until([&] { return got.has_value(); });
        CPPUNIT_ASSERT(got);
        CPPUNIT_ASSERT(std::holds_alternative<error>(*got));
    }

    // The store fails in the middle of a read. The scan must not return a part
    // of the rows.
    void interrupted_scan_returns_an_error()
    {
        fake_store fake;
        fake.responses_left = 2;
        check_scan_fails(fake);
    }

    // The store announces more rows but returns none, or rows without a key to
    // continue from. Treating this as the end would make a part look like the
    // whole fleet; continuing forever would never end the call.
    void scan_without_progress_returns_an_error()
    {
        for (auto const* body :
             {R"({"rows":[],"has-more":true})", R"({"has-more":true})",
              R"({"rows":[{"key":"a"}],"has-more":true})",
              R"({"rows":[{"data":""}],"has-more":true})",
              R"({"rows":["a"],"has-more":true})",
              R"({"rows":[{"key":"a"}],"has-more":"yes"})"})
        {
            fake_store fake;
            fake.fixed_body = body;
            check_scan_fails(fake);
            CPPUNIT_ASSERT_MESSAGE(body, fake.calls <= 2);
        }
    }

    // Guards against a list of servers that waits until a large configuration
    // is parsed and built.
    void servers_are_read_while_a_configuration_is_parsed()
    {
        fake_store fake;
        fake.fixed_body = R"({"rows":[{"key":"a","part":"","data":")" +
                          std::string(2 * gateway::longest_inline_text, 'A') +
                          R"("}],"schema-version":7})";
        std::promise<void> built;
        fake.background->run<int>(
            gateway::worker_lane::configuration, "build",
            [done = built.get_future().share()]
            {
                constexpr std::chrono::seconds bound{10};
                return static_cast<int>(done.wait_for(bound));
            },
            [](std::variant<int, error> const&) {});
        std::string read;
        auto const list = [&fake, &read](std::string const& table)
        {
            fake.port.list(
                table, duration{1'000},
                [&read, table](std::variant<store::feed_page, error> const& got)
                {
                    auto const& page = std::get<store::feed_page>(got);
                    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, page.version);
                    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, page.rows.size());
                    read += table + " ";
                });
        };
        list("op");
        list("servers");
        fake.run_until([&read] { return !read.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::string{"servers "}, read);
        built.set_value();
        fake.run_until([&read] { return read.ends_with("op "); });
        CPPUNIT_ASSERT_EQUAL(std::string{"servers op "}, read);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_port_test);
