#include "gateway/fake_server.hpp"
#include "gateway/followers/table_follower.hpp"
#include "gateway/http_client.hpp"
#include "platform/store_port.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace caperpath;
using namespace caperpath::gateway;

class table_follower_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(table_follower_test);
    CPPUNIT_TEST(a_change_on_a_slow_link_is_not_read_again);
    CPPUNIT_TEST(a_table_on_a_slow_link_is_not_read_again);
    CPPUNIT_TEST(a_table_is_read_again_after_a_stall);
    CPPUNIT_TEST(a_table_is_read_again_after_a_trickle);
    CPPUNIT_TEST(a_lost_call_does_not_read_the_table_again);
    CPPUNIT_TEST(a_dropped_history_reads_the_table_again);
    CPPUNIT_TEST(an_outage_reads_the_table_again);
    CPPUNIT_TEST(a_response_that_begins_late_is_waited_for);
    CPPUNIT_TEST(a_follower_that_lags_behind_reads_the_newest_version);
    CPPUNIT_TEST_SUITE_END();

    static constexpr duration call_timeout{300};
    static constexpr std::size_t salt = 7;
    static constexpr std::size_t piece_size = 4'096;
    static constexpr std::size_t many_pieces = 600;

    static std::string page(std::string const& key, int version)
    {
        return R"({"rows":[{"key":")" + key +
               R"(","part":"","data":"","schema-version":)" +
               std::to_string(version) +
               R"(}],"has-more":false,"schema-version":)" +
               std::to_string(version) + "}";
    }

    /// Pieces of a response with `text`, followed by blanks, which JSON allows.
    static std::vector<std::string>
    slow_response(fake_server::request const& to, std::string const& text)
    {
        auto const padding = std::string(piece_size * many_pieces, ' ');
        auto const bytes = complete_response(to, 200, text + padding);
        std::vector<std::string> pieces;
        for (std::size_t at = 0; at < bytes.size(); at += piece_size)
        {
            pieces.push_back(bytes.substr(at, piece_size));
        }
        return pieces;
    }

    /// A store and a router's follower of one of its tables.
    struct scenario
    {
        explicit scenario(fake_server::responder respond)
            : server{loop, std::move(respond)}
        {
            this->follower.start();
        }
        ~scenario()
        {
            ::close(this->null_device);
        }

        bool run_until_seen(std::string const& key)
        {
            constexpr int max_slices = 2'000;
            for (int i = 0; i < max_slices; ++i)
            {
                this->loop.run_for(std::chrono::milliseconds{5});
                if (std::find(this->seen.begin(), this->seen.end(), key) !=
                    this->seen.end())
                {
                    return true;
                }
            }
            return false;
        }

        std::ptrdiff_t lists() const
        {
            return std::count_if(this->server.requests.begin(),
                                 this->server.requests.end(), is_list);
        }

        void take(store::feed_page const& from)
        {
            for (auto const& row : from.rows)
            {
                this->seen.push_back(row.key);
            }
        }

        boost::asio::io_context loop;
        int null_device{::open("/dev/null", O_WRONLY | O_CLOEXEC)};
        decision_log log{loop.get_executor(), null_device, "vm-1"};
        fake_server server;
        std::vector<std::string> seen;
        table_follower follower{
            loop.get_executor(),
            platform::make_store_port(
                std::make_shared<http_client>(loop.get_executor(),
                                              server.address()),
                server.address(), call_timeout),
            "table",
            {[this](store::feed_page const& from) { this->take(from); },
             [this](store::feed_page const& from) { this->take(from); },
             [](bool, error const&) {
             }},
            salt,
            log};
    };

    static bool is_list(fake_server::request const& got)
    {
        return got.target().find("rows-get") != std::string::npos;
    }

    // A change is large and the uplink of the router is slow. Guards against a
    // fixed timeout: the change would be read from its first byte again and
    // again while the router serves with a stale configuration.
    void a_change_on_a_slow_link_is_not_read_again()
    {
        auto change_sent = false;
        scenario here{
            [&change_sent](fake_server::request const& got) -> script
            {
                if (is_list(got))
                {
                    return {{complete_response(got, 200, page("first", 1))}};
                }
                if (change_sent)
                {
                    return {{}, script::ending::silent};
                }
                change_sent = true;
                return {slow_response(got, page("second", 2))};
            }};
        CPPUNIT_ASSERT(here.run_until_seen("second"));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, here.lists());
    }

    // The same for the whole table, which a router reads at its start and after
    // an outage.
    void a_table_on_a_slow_link_is_not_read_again()
    {
        scenario here{[](fake_server::request const& got) -> script
                      {
                          if (!is_list(got))
                          {
                              return {{}, script::ending::silent};
                          }
                          return {slow_response(got, page("first", 1))};
                      }};
        CPPUNIT_ASSERT(here.run_until_seen("first"));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, here.lists());
    }

    /// The first read of the table stalls after the pieces `truncated`; the
    /// next ones succeed.
    static scenario
    after_truncated_list(std::vector<std::string> const& truncated)
    {
        auto const lists = std::make_shared<int>(0);
        return scenario{
            [truncated, lists](fake_server::request const& got)
            {
                if (!is_list(got))
                {
                    return script{{}, script::ending::silent};
                }
                *lists += 1;
                return *lists == 1 ? script{truncated, script::ending::silent}
                                   : script{{complete_response(
                                         got, 200, page("first", 1))}};
            }};
    }

    // A connection goes silent within a response. Guards against waiting
    // without a limit: the router would never receive a change again.
    void a_table_is_read_again_after_a_stall()
    {
        auto here = after_truncated_list(
            {"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n",
             std::string(piece_size, ' ')});
        CPPUNIT_ASSERT(here.run_until_seen("first"));
    }

    // A peer sends single bytes at long intervals. Guards against a timeout
    // that each byte restarts.
    void a_table_is_read_again_after_a_trickle()
    {
        constexpr std::size_t trickled_bytes = 1'500;
        std::vector<std::string> pieces(trickled_bytes, " ");
        pieces.front() = "HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n";
        auto here = after_truncated_list(pieces);
        CPPUNIT_ASSERT(here.run_until_seen("first"));
        CPPUNIT_ASSERT(here.server.requests.size() >= 2);
    }

    /// A table with one row, and a second one as its first change. The first
    /// `failures` calls for changes get the response `failure`.
    static scenario with_failed_follows(int failures, script const& failure)
    {
        auto const calls = std::make_shared<int>(0);
        return scenario{
            [failures, failure, calls](fake_server::request const& got)
            {
                if (is_list(got))
                {
                    return script{
                        {complete_response(got, 200, page("first", 1))}};
                }
                *calls += 1;
                if (*calls <= failures)
                {
                    return failure;
                }
                if (*calls == failures + 1)
                {
                    return script{
                        {complete_response(got, 200, page("second", 2))}};
                }
                return script{{}, script::ending::silent};
            }};
    }

    // All routers lose their connections at once. Guards against each of them
    // reading the whole table again: a large table would fill their uplinks.
    void a_lost_call_does_not_read_the_table_again()
    {
        auto here = with_failed_follows(1, {{}, script::ending::reset});
        CPPUNIT_ASSERT(here.run_until_seen("second"));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, here.lists());
    }

    // Guards against a change that is missed because the store dropped it from
    // its history.
    void a_dropped_history_reads_the_table_again()
    {
        auto here = with_failed_follows(
            1, {{"HTTP/1.1 410 Gone\r\nContent-Length: 2\r\n\r\n{}"}});
        CPPUNIT_ASSERT(here.run_until_seen("second"));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2}, here.lists());
    }

    // Guards against following changes from an old version after an outage of
    // the store.
    void an_outage_reads_the_table_again()
    {
        auto here = with_failed_follows(2, {{}, script::ending::reset});
        CPPUNIT_ASSERT(here.run_until_seen("second"));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2}, here.lists());
    }

    // Versions change faster than a slow link transmits them. Guards against
    // reading them one after the other, so that the follower lags further
    // behind with each.
    void a_follower_that_lags_behind_reads_the_newest_version()
    {
        scenario here{
            [](fake_server::request const& got) -> script
            {
                if (is_list(got))
                {
                    return {{complete_response(got, 200, page("newest", 9))}};
                }
                std::string const one =
                    R"({"key":"old","part":"","data":"","schema-version":2})";
                return {slow_response(got, R"({"rows":[)" + one + "," + one +
                                               R"(],"schema-version":3})")};
            }};
        CPPUNIT_ASSERT(here.run_until_seen("old"));
        auto const before = here.lists();
        here.seen.clear();
        CPPUNIT_ASSERT(here.run_until_seen("newest"));
        CPPUNIT_ASSERT_EQUAL(before + 1, here.lists());
    }

    // On a full link each response begins late. Guards against one fixed
    // timeout, which would abandon each call just before its response arrives.
    void a_response_that_begins_late_is_waited_for()
    {
        constexpr std::size_t pauses = 550;
        scenario here{
            [](fake_server::request const& got) -> script
            {
                if (is_list(got))
                {
                    return {{complete_response(got, 200, page("first", 1))}};
                }
                std::vector<std::string> pieces(pauses);
                pieces.push_back(
                    complete_response(got, 200, page("second", 2)));
                return {pieces};
            }};
        CPPUNIT_ASSERT(here.run_until_seen("second"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_follower_test);
