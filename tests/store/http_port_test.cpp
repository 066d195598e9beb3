#include <caperpath/store/http_port.hpp>
#include <caperpath/store/wire.hpp>

#include "http/server.hpp"
#include "store/fake_platform.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <thread>

using namespace caperpath;
using namespace caperpath::store;
using nlohmann::json;

namespace
{

// Long enough for an exchange over loopback on a loaded machine; one test waits
// for this timeout once.
constexpr duration short_timeout{2'000};

void assert_fault(error const& fault, error_kind kind, std::string const& step,
                  std::string const& peer)
{
    CPPUNIT_ASSERT_EQUAL(std::string{to_string(kind)},
                         std::string{to_string(fault.kind)});
    CPPUNIT_ASSERT_EQUAL(step, fault.step);
    CPPUNIT_ASSERT_EQUAL(peer, fault.peer);
}

void assert_not_applied(commit_result const& result, commit_outcome outcome,
                        error_kind kind, std::string const& peer)
{
    CPPUNIT_ASSERT(result.outcome == outcome);
    assert_fault(result.fault, kind, "commit", peer);
}

std::vector<row> rows_of(port const& connected, std::string const& key)
{
    auto const found = value_or_error([&] { return connected.read({key}); });
    return std::get<std::vector<row>>(found);
}

} // namespace

class http_port_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_port_test);
    CPPUNIT_TEST(applies_reads_and_scans);
    CPPUNIT_TEST(a_failed_condition_shows_the_row);
    CPPUNIT_TEST(a_lost_response_is_unknown_and_sent_once);
    CPPUNIT_TEST(a_silent_connection_is_unknown_and_dropped);
    CPPUNIT_TEST(an_error_without_a_body_is_unknown);
    CPPUNIT_TEST(a_response_of_a_balancer_is_unknown);
    CPPUNIT_TEST(a_truncated_response_is_unknown);
    CPPUNIT_TEST(a_slow_response_is_unknown);
    CPPUNIT_TEST(a_write_over_the_rate_limit_is_rejected);
    CPPUNIT_TEST(an_outage_rejects_until_it_ends);
    CPPUNIT_TEST(a_stopped_platform_rejects);
    CPPUNIT_TEST(an_unencodable_key_is_rejected);
    CPPUNIT_TEST(objects_keep_name_and_content);
    CPPUNIT_TEST(concurrent_writers_lose_no_update);
    CPPUNIT_TEST_SUITE_END();

    void applies_reads_and_scans()
    {
        fake_platform const platform;
        auto const connected = platform.connect();
        auto const both = transaction{{}, {{"a/1", "1"}, {"a/2", "2"}}};
        CPPUNIT_ASSERT(is_applied(connected.commit(both)));
        CPPUNIT_ASSERT(rows_of(connected, "a/1") ==
                       (std::vector<row>{{"a/1", 1, "1"}}));
        auto const rest =
            value_or_error([&] { return connected.scan("a/", "a/1", 10); });
        CPPUNIT_ASSERT(std::get<std::vector<row>>(rest) ==
                       (std::vector<row>{{"a/2", 1, "2"}}));
        CPPUNIT_ASSERT(is_applied(
            connected.commit({{{"a/1", 1}}, {{"a/1", std::nullopt}}})));
        CPPUNIT_ASSERT(rows_of(connected, "a/1").empty());
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t{3},
            platform.stats()["rows_written"].get<std::int64_t>());
    }

    void a_failed_condition_shows_the_row()
    {
        fake_platform const platform;
        auto const connected = platform.connect();
        CPPUNIT_ASSERT(is_applied(connected.commit(insert("a", "1"))));
        auto const second = connected.commit(insert("a", "2"));
        assert_not_applied(second, commit_outcome::rejected,
                           error_kind::conflict, platform.address);
        CPPUNIT_ASSERT(second.failed == (std::vector<row>{{"a", 1, "1"}}));
    }

    // The platform writes a bill and its response is lost on a connection that
    // worked before. A client that retries by itself, or reports a rejection,
    // would bill the customer twice: the row would reach version 2.
    void a_lost_response_is_unknown_and_sent_once()
    {
        fake_platform const platform;
        auto const connected = platform.connect();
        CPPUNIT_ASSERT(is_applied(connected.commit(insert("warm", "1"))));
        platform.plan({{"step", "commit"}, {"kind", "lost_answer"}});
        auto const outcome = connected.commit({{}, {{"bill", "7"}}});
        assert_not_applied(outcome, commit_outcome::unknown,
                           error_kind::timeout, platform.address);
        CPPUNIT_ASSERT(rows_of(connected, "bill") ==
                       (std::vector<row>{{"bill", 1, "7"}}));
    }

    // A device on the path drops a connection's state: calls on it get no
    // response, while new connections work. A client that kept using it would
    // fail every later call; the next one must succeed.
    void a_silent_connection_is_unknown_and_dropped()
    {
        fake_platform const platform;
        auto const connected = platform.connect(short_timeout);
        CPPUNIT_ASSERT(is_applied(connected.commit(insert("warm", "1"))));
        platform.plan({{"step", "commit"}, {"kind", "silent"}});
        assert_not_applied(connected.commit(insert("a", "1")),
                           commit_outcome::unknown, error_kind::timeout,
                           platform.address);
        CPPUNIT_ASSERT(is_applied(platform.connect().commit(insert("a", "1"))));
    }

    void an_error_without_a_body_is_unknown()
    {
        fake_platform const platform;
        auto const connected = platform.connect();
        platform.plan({{"step", "any"}, {"kind", "error"}, {"count", 2}});
        assert_not_applied(connected.commit(insert("a", "1")),
                           commit_outcome::unknown, error_kind::timeout,
                           platform.address);
        auto const read = value_or_error([&] { return connected.read({"a"}); });
        assert_fault(std::get<error>(read), error_kind::timeout, "read",
                     platform.address);
    }

    // The platform dies after a write and its balancer responds instead, with
    // 503 or a page with 200. Taken as a rejection, the bill is written twice;
    // taken as a success, it may not have been written.
    void a_response_of_a_balancer_is_unknown()
    {
        for (auto const status : {503, 200})
        {
            http::server balancer;
            balancer.Post(
                wire::commit_path,
                [status](httplib::Request const&, httplib::Response& response)
                {
                    response.status = status;
                    response.set_content("upstream gone", "text/plain");
                });
            assert_unknown_from(balancer);
        }
    }

    // The connection breaks inside a successful response. Only the complete
    // text proves that the write took effect.
    void a_truncated_response_is_unknown()
    {
        http::server broken;
        broken.Post(wire::commit_path,
                    [](httplib::Request const&, httplib::Response& response)
                    {
                        auto const whole = wire::encode_applied();
                        response.set_content_provider(
                            whole.size() + 1, "application/json",
                            [whole](std::size_t offset, std::size_t,
                                    httplib::DataSink& sink) {
                                return offset == 0 &&
                                       sink.write(whole.data(), whole.size());
                            });
                    });
        assert_unknown_from(broken);
    }

    // A faulty peer sends its response byte by byte, each within the read
    // timeout. Without a bound on the whole exchange, a settlement could block
    // its caller indefinitely; here the complete response would take two
    // seconds.
    void a_slow_response_is_unknown()
    {
        http::server slow;
        slow.Post(wire::commit_path,
                  [](httplib::Request const&, httplib::Response& response)
                  {
                      auto const whole = wire::encode_applied();
                      response.set_content_provider(
                          whole.size(), "application/json",
                          [whole](std::size_t offset, std::size_t,
                                  httplib::DataSink& sink)
                          {
                              std::this_thread::sleep_for(
                                  std::chrono::milliseconds{100});
                              return sink.write(&whole[offset], 1);
                          });
                  });
        assert_unknown_from(slow, {500});
    }

    static void assert_unknown_from(http::server& peer,
                                    duration read_timeout = {30'000})
    {
        http_port_options options;
        options.read_timeout = read_timeout;
        options.address =
            "127.0.0.1:" + std::to_string(peer.start("127.0.0.1:0"));
        assert_not_applied(make_http_port(options).commit(insert("a", "1")),
                           commit_outcome::unknown, error_kind::timeout,
                           options.address);
    }

    // More writes arrive than the platform's rate limit allows. They are
    // rejected without effect, so the caller may safely retry them later.
    void a_write_over_the_rate_limit_is_rejected()
    {
        store_emulator_settings settings;
        settings.writes_per_second = 4; // a burst of one write
        fake_platform platform{settings};
        auto const connected = platform.connect();
        CPPUNIT_ASSERT(is_applied(connected.commit(insert("a", "1"))));
        assert_not_applied(connected.commit(insert("b", "1")),
                           commit_outcome::rejected, error_kind::refused,
                           platform.address);
        CPPUNIT_ASSERT(rows_of(connected, "b").empty());
        platform.now += 250;
        CPPUNIT_ASSERT(is_applied(connected.commit(insert("b", "1"))));
        CPPUNIT_ASSERT_EQUAL(1, platform.stats()["refused_by_rate"].get<int>());
    }

    void an_outage_rejects_until_it_ends()
    {
        fake_platform platform;
        auto const connected = platform.connect();
        platform.plan({{"step", "any"}, {"kind", "outage"}, {"ms", 500}});
        assert_not_applied(connected.commit(insert("a", "1")),
                           commit_outcome::rejected, error_kind::unavailable,
                           platform.address);
        auto const read = value_or_error([&] { return connected.list_vms(); });
        assert_fault(std::get<error>(read), error_kind::unavailable, "list vms",
                     platform.address);
        platform.now += 500;
        CPPUNIT_ASSERT(is_applied(connected.commit(insert("a", "1"))));
    }

    // The platform stops while the client holds an idle connection to it. The
    // next write must not be sent on that connection and reported as unknown:
    // nothing was sent, so a router may retry it elsewhere or later.
    void a_stopped_platform_rejects()
    {
        fake_platform platform;
        auto const connected = platform.connect();
        CPPUNIT_ASSERT(is_applied(connected.commit(insert("a", "1"))));
        platform.server.stop();
        assert_not_applied(connected.commit(insert("b", "1")),
                           commit_outcome::rejected, error_kind::unavailable,
                           platform.address);
        auto const read =
            value_or_error([&] { return connected.get_object("a"); });
        assert_fault(std::get<error>(read), error_kind::unavailable,
                     "get object", platform.address);
    }

    // A caller's header ends up in a key and contains bytes that JSON cannot
    // encode. The router must get an error, not an exception that ends it.
    void an_unencodable_key_is_rejected()
    {
        fake_platform const platform;
        auto const connected = platform.connect();
        assert_not_applied(connected.commit(insert("\xff", "1")),
                           commit_outcome::rejected, error_kind::invalid,
                           platform.address);
        auto const read =
            value_or_error([&] { return connected.read({"\xff"}); });
        assert_fault(std::get<error>(read), error_kind::invalid, "read",
                     platform.address);
    }

    void objects_keep_name_and_content()
    {
        fake_platform const platform;
        auto const connected = platform.connect();
        std::string const content{"\0\xff\r\n{}", 6};
        for (std::string const name :
             {"config/7", "a b+c", "50%2F", "x?y=z#w", "r\xc3\xa9gle"})
        {
            CPPUNIT_ASSERT(is_applied(connected.put_object(name, content)));
            CPPUNIT_ASSERT(is_applied(connected.put_object(name, content)));
            CPPUNIT_ASSERT(connected.put_object(name, "other").fault.kind ==
                           error_kind::conflict);
            auto const found =
                value_or_error([&] { return connected.get_object(name); });
            CPPUNIT_ASSERT_EQUAL(content, std::get<std::string>(found));
        }
        auto const missing =
            value_or_error([&] { return connected.get_object("config/8"); });
        assert_fault(std::get<error>(missing), error_kind::not_found,
                     "get object", platform.address);
    }

    // Routers draw from one budget concurrently over one client. A lost or
    // duplicated update would give a sum other than the number of draws.
    void concurrent_writers_lose_no_update()
    {
        constexpr int writers = 8;
        constexpr int draws = 20;
        store_emulator_settings settings;
        settings.writes_per_second = 1'000'000;
        settings.reads_per_second = 1'000'000;
        fake_platform const platform{settings};
        auto const connected = platform.connect();
        connected.commit(insert("budget", "0"));
        std::vector<std::thread> threads;
        threads.reserve(writers);
        for (int i = 0; i < writers; ++i)
        {
            threads.emplace_back(
                [&connected]
                {
                    for (int drawn = 0; drawn < draws;)
                    {
                        auto const now = rows_of(connected, "budget").at(0);
                        auto const more = std::stoi(now.value) + 1;
                        drawn += is_applied(connected.commit(
                            {{{"budget", now.version}},
                             {{"budget", std::to_string(more)}}}));
                    }
                });
        }
        for (auto& thread : threads)
        {
            thread.join();
        }
        CPPUNIT_ASSERT_EQUAL(std::to_string(writers * draws),
                             rows_of(connected, "budget").at(0).value);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_port_test);
