#include "gateway/fleet_site.hpp"
#include "gateway/followers/merged_row_writer.hpp"
#include "gateway/followers/table_follower.hpp"
#include "gateway/nonthrowing_port.hpp"
#include "gateway/peer_socket.hpp"
#include "gateway/store_site.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <new>
#include <optional>
#include <set>
#include <stdexcept>

using namespace caperpath;
using namespace caperpath::gateway;

namespace
{

/// The writer of rows that several routers write, with functions that throw.
struct merged_site : store_site
{
    static std::string key(std::string const& name)
    {
        return "crash/" + name + "/fleet";
    }

    /// Another router writes the row.
    void write_elsewhere(std::string const& name)
    {
        store::transaction txn;
        txn.writes.push_back({key(name), "elsewhere"});
        this->store.port().commit(txn, [](store::commit_result const&) {});
    }

    bool is_written(std::string const& name) const
    {
        return this->store.router_row(key(name)) == "own";
    }

    std::string unreadable;  ///< has no value
    std::string unmergeable; ///< cannot be merged
    merged_row_writer writer{loop.get_executor(),
                             store.port(),
                             7,
                             {[this](std::string const& key)
                              {
                                  if (key == this->unreadable)
                                  {
                                      throw std::length_error{"a value"};
                                  }
                                  return std::optional<std::string>{"own"};
                              },
                              [this](store::row const& row)
                              {
                                  if (row.key == this->unmergeable)
                                  {
                                      throw std::length_error{"a row"};
                                  }
                              },
                              [](auto const&) {
                              }},
                             log};
};

/// A follower of a table, with functions that throw.
struct follower_site : store_site
{
    follower_site()
    {
        this->follower.start();
    }

    bool run_until_seen(std::string const& key)
    {
        return this->run_until([&] { return this->seen.contains(key); });
    }

    void take(store::feed_page const& page, int& throws)
    {
        for (auto const& row : page.rows)
        {
            throw_times(throws);
            this->seen.insert(row.key);
        }
    }

    int snapshot_throws{0};
    int change_throws{0};
    int reachability_throws{0};
    int delay_throws{0};
    std::set<std::string> seen;
    table_follower follower{
        loop.get_executor(),
        store.port(),
        "table",
        table_listener{[this](store::feed_page const& page)
                       { this->take(page, this->snapshot_throws); },
                       [this](store::feed_page const& page)
                       { this->take(page, this->change_throws); },
                       [this](bool, error const&)
                       { throw_times(this->reachability_throws); },
                       {},
                       [this]
                       {
                           throw_times(this->delay_throws);
                           return duration{1};
                       }},
        7,
        log};
};

} // namespace

/// Exceptions in calls to the store and in what follows them.
class store_exception_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_exception_test);
    CPPUNIT_TEST(a_router_goes_on_after_calls_that_throw);
    CPPUNIT_TEST(a_call_that_throws_ends_with_one_error);
    CPPUNIT_TEST(a_page_that_throws_is_read_again);
    CPPUNIT_TEST(a_table_is_followed_after_an_exception);
    CPPUNIT_TEST(a_row_without_a_value_keeps_no_other_back);
    CPPUNIT_TEST(a_row_that_cannot_be_merged_keeps_no_other_back);
    CPPUNIT_TEST(a_datagram_that_throws_is_not_the_last_one);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a router that keeps an old configuration, an old list of
    // servers and old budgets for good, because a call for their changes could
    // not be made.
    void a_router_goes_on_after_calls_that_throw()
    {
        fleet_site site;
        site.wait_ready();
        auto throws = 0;
        site.store.before_call = [&throws]
        {
            throws += 1;
            throw std::bad_alloc{};
        };
        // Ends the pending calls for changes; the next ones throw.
        site.put_configuration(2);
        site.add_server("i-1", "app",
                        [](fake_server::request const& got) {
                            return script{{complete_response(got, 200, "ok")}};
                        });
        CPPUNIT_ASSERT(site.run_until([&] { return throws >= 10; }));
        site.store.before_call = nullptr;
        site.max_body_bytes = 10;
        site.put_configuration(3);
        auto const too_long =
            fleet_site::request("POST", "/order/1", "", std::string(100, 'b'));
        CPPUNIT_ASSERT(
            site.run_until([&] { return site.send(too_long).status == 413; }));
        CPPUNIT_ASSERT(site.run_until(
            [&] {
                return site.send(fleet_site::request("GET", "/read/1"))
                           .status == 200;
            }));
    }

    // Guards against a wait for the end of a call that could not be made, and
    // against a result that is handled twice.
    void a_call_that_throws_ends_with_one_error()
    {
        store_site site;
        store::async_port port = site.store.port();
        port.commit = [](store::transaction const&,
                         std::function<void(store::commit_result)> const& done)
        {
            done({store::commit_outcome::applied, {}, {}});
            throw std::bad_alloc{};
        };
        site.store.before_call = []
        {
            throw std::bad_alloc{};
        };
        auto const safe = make_nonthrowing_port(port, site.loop.get_executor());
        auto errors = 0;
        safe.read("a/b", [&](std::variant<store::row, error> const& reply)
                  { errors += std::holds_alternative<error>(reply) ? 1 : 0; });
        CPPUNIT_ASSERT_EQUAL(0, errors);
        CPPUNIT_ASSERT(site.run_until([&] { return errors == 1; }));
        auto outcomes = 0;
        CPPUNIT_ASSERT_THROW(safe.commit({}, [&](store::commit_result const&)
                                         { outcomes += 1; }),
                             std::bad_alloc);
        errors = 0;
        safe.read("a/b",
                  [&](std::variant<store::row, error> const&) { errors += 1; });
        CPPUNIT_ASSERT(site.run_until([&] { return errors == 1; }));
        CPPUNIT_ASSERT_EQUAL(1, outcomes);
    }

    // Guards against rows that are missing until they change once more.
    void a_page_that_throws_is_read_again()
    {
        follower_site site;
        site.snapshot_throws = 2;
        site.change_throws = 1;
        site.store.put("table", "first", "");
        CPPUNIT_ASSERT(site.run_until_seen("first"));
        CPPUNIT_ASSERT_EQUAL(0, site.snapshot_throws + site.change_throws);
        site.store.put("table", "second", "");
        CPPUNIT_ASSERT(site.run_until_seen("second"));
    }

    // Guards against a table that is not followed any more.
    void a_table_is_followed_after_an_exception()
    {
        for (auto const at : {&follower_site::reachability_throws,
                              &follower_site::delay_throws})
        {
            follower_site site;
            site.*at = 2;
            site.store.put("table", "first", "");
            CPPUNIT_ASSERT(site.run_until_seen("first"));
            site.store.put("table", "second", "");
            CPPUNIT_ASSERT(site.run_until_seen("second"));
            site.store.put("table", "third", "");
            CPPUNIT_ASSERT(site.run_until_seen("third"));
        }
    }

    // Guards against evidence of crashes that never reaches the other routers
    // because of one row.
    void a_row_without_a_value_keeps_no_other_back()
    {
        merged_site site;
        site.unreadable = merged_site::key("a");
        site.writer.schedule(merged_site::key("a"));
        site.writer.schedule(merged_site::key("b"));
        CPPUNIT_ASSERT(site.run_until([&] { return site.is_written("b"); }));
    }

    // Guards against the same, and against a row that replaces what another
    // router wrote.
    void a_row_that_cannot_be_merged_keeps_no_other_back()
    {
        merged_site site;
        site.unmergeable = merged_site::key("a");
        site.write_elsewhere("a");
        site.writer.schedule(merged_site::key("a"));
        site.writer.schedule(merged_site::key("b"));
        CPPUNIT_ASSERT(site.run_until([&] { return site.is_written("b"); }));
        site.writer.schedule(merged_site::key("c"));
        CPPUNIT_ASSERT(site.run_until([&] { return site.is_written("c"); }));
        CPPUNIT_ASSERT(!site.is_written("a"));
    }

    // Guards against a router that no longer hears the other routers after one
    // datagram.
    void a_datagram_that_throws_is_not_the_last_one()
    {
        store_site site;
        peer_socket from{site.loop.get_executor(), "127.0.0.1:0", site.log};
        peer_socket to{site.loop.get_executor(), "127.0.0.1:0", site.log};
        auto received = 0;
        from.start([](std::string const&, std::string const&) {});
        to.start(
            [&](std::string const&, std::string const&)
            {
                received += 1;
                auto times = received == 1 ? 1 : 0;
                throw_times(times);
            });
        from.send(to.address(), "a");
        from.send(to.address(), "b");
        CPPUNIT_ASSERT(site.run_until([&] { return received == 2; }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_exception_test);
