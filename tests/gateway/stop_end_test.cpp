#include "gateway/fleet_site.hpp"
#include "gateway/standalone_client.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <thread>

#include <unistd.h>

using namespace caperpath;
using namespace caperpath::gateway;

/// The end of a planned stop leaves no request unread.
class stop_end_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stop_end_test);
    CPPUNIT_TEST(requests_unread_in_the_last_turn_get_a_response);
    CPPUNIT_TEST(connections_are_closed_before_the_log_is_flushed);
    CPPUNIT_TEST(a_late_timer_does_not_close_a_connection_with_input);
    CPPUNIT_TEST_SUITE_END();

    static constexpr duration grace{800};
    static constexpr duration some_turns{20};

    /// A site with one server and a router whose log can be read.
    struct scenario
    {
        scenario() : site{false, {10, 50, {10'000}}, grace}
        {
            auto const file = std::tmpfile();
            CPPUNIT_ASSERT(file != nullptr);
            this->log = file;
            CPPUNIT_ASSERT(::dup2(::fileno(file), this->site.log_descriptor) >=
                           0);
            this->site.put_configuration(1);
            this->site.add_server(
                "i-1", "app",
                [](fake_server::request const& got)
                { return script{{complete_response(got, 200, "done")}}; });
            CPPUNIT_ASSERT(this->site.run_until(
                [this] { return this->site.readiness() == 200; }));
        }

        ~scenario()
        {
            static_cast<void>(std::fclose(this->log));
        }

        scenario(scenario const&) = delete;
        scenario& operator=(scenario const&) = delete;

        /// Returns a caller whose connection was accepted and is idle.
        std::unique_ptr<standalone_client> idle_caller(duration age)
        {
            auto caller =
                std::make_unique<standalone_client>(this->site.callers_port());
            this->site.run_for(age);
            return caller;
        }

        /// Keeps the loop from running until the stop is over.
        void hold_to_the_end()
        {
            std::this_thread::sleep_for(std::chrono::milliseconds{grace.ms});
            CPPUNIT_ASSERT(this->site.router->stopped());
        }

        /// The log so far, read from its start.
        std::string logged() const
        {
            std::string text;
            std::array<char, 4'096> part{};
            off_t at = 0;
            auto size =
                ::pread(::fileno(this->log), part.data(), part.size(), at);
            while (size > 0)
            {
                text.append(part.data(), static_cast<std::size_t>(size));
                at += size;
                size =
                    ::pread(::fileno(this->log), part.data(), part.size(), at);
            }
            return text;
        }

        std::string const order =
            fleet_site::request("POST", "/order/1", "", "order");
        fleet_site site;
        std::FILE* log{nullptr};
    };

    static int count_of(std::string const& text, std::string const& part)
    {
        int count = 0;
        for (auto at = text.find(part); at != std::string::npos;
             at = text.find(part, at + part.size()))
        {
            count += 1;
        }
        return count;
    }

    // The loop is late in its last turn. Guards against requests that the end
    // of the process resets without a response or a line in the log.
    void requests_unread_in_the_last_turn_get_a_response()
    {
        scenario here;
        auto kept = here.idle_caller(some_turns);
        here.site.router->stop();
        kept->send(here.order);
        standalone_client queued{here.site.callers_port()};
        queued.send(here.order);
        here.hold_to_the_end();
        here.site.router->close_connections();
        here.site.router->flush_log();
        for (auto* const caller : {kept.get(), &queued})
        {
            auto const got = caller->received();
            CPPUNIT_ASSERT_EQUAL(503, got.status);
            CPPUNIT_ASSERT(got.complete);
            CPPUNIT_ASSERT(got.closed);
            CPPUNIT_ASSERT(got.head.find("Connection: close") !=
                           std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(2, count_of(here.logged(), " step=request "));
    }

    // Guards against requests that are sent while the log is written and reset
    // much later, when the process has ended.
    void connections_are_closed_before_the_log_is_flushed()
    {
        scenario here;
        auto kept = here.idle_caller(some_turns);
        auto const port = here.site.callers_port();
        here.site.router->stop();
        standalone_client queued{port};
        here.hold_to_the_end();
        here.site.router->close_connections();
        CPPUNIT_ASSERT(kept->received().closed);
        CPPUNIT_ASSERT(queued.received().closed);
        CPPUNIT_ASSERT_THROW(standalone_client{port},
                             boost::system::system_error);
    }

    // The loop handles the timer that closes idle connections before input that
    // arrived earlier. Guards against a reset of a request that was sent in
    // time.
    void a_late_timer_does_not_close_a_connection_with_input()
    {
        scenario here;
        auto kept = here.idle_caller(duration{1'100});
        here.site.router->stop();
        here.site.run_for(some_turns);
        boost::asio::steady_timer sender{here.site.loop};
        sender.expires_after(std::chrono::milliseconds{0});
        sender.async_wait([&](boost::system::error_code)
                          { kept->send(here.order); });
        std::this_thread::sleep_for(std::chrono::milliseconds{grace.ms / 2});
        received_response got;
        CPPUNIT_ASSERT(here.site.run_until(
            [&]
            {
                got = kept->received();
                return got.complete || got.closed;
            }));
        CPPUNIT_ASSERT(got.complete);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stop_end_test);
