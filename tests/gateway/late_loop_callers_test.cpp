#include "gateway/fleet_site.hpp"
#include "gateway/late_loop.hpp"
#include "gateway/standalone_client.hpp"

#include <boost/asio/post.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

using namespace caperpath;
using namespace caperpath::gateway;

/// Callers of a router whose event loop stays behind, some of which leave
/// before it serves them.
class late_loop_callers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(late_loop_callers_test);
    CPPUNIT_TEST(a_router_that_stays_behind_serves_patient_callers);
    CPPUNIT_TEST_SUITE_END();

    using millis = std::chrono::milliseconds;

    /// A server on a thread of its own: it is not late when the router is.
    class separate_server
    {
    public:
        separate_server()
            : server{this->loop,
                     [this](fake_server::request const& got)
                     {
                         this->note(std::string{got["Request-Id"]});
                         return respond_done(got);
                     }},
              thread{[this]
                     {
                         this->loop.run();
                     }}
        {
        }

        ~separate_server()
        {
            this->loop.stop();
            this->thread.join();
        }

        separate_server(separate_server const&) = delete;
        separate_server& operator=(separate_server const&) = delete;

        std::string address() const
        {
            return this->server.address();
        }

        /// Thread safe. When a request came; empty if it did not.
        std::optional<time_point> arrival(std::string const& id)
        {
            std::lock_guard const hold{this->lock};
            auto const found = this->arrivals.find(id);
            return found == this->arrivals.end() ? std::nullopt
                                                 : std::optional{found->second};
        }

    private:
        void note(std::string const& id)
        {
            std::lock_guard const hold{this->lock};
            this->arrivals.emplace(id, std::chrono::steady_clock::now());
        }

        std::mutex lock;
        std::map<std::string, time_point> arrivals;
        asio::io_context loop;
        fake_server server;
        std::thread thread;
    };

    struct impatient_caller
    {
        std::string id;
        time_point begin;
        time_point leaves;
        std::unique_ptr<standalone_client> connection{};
        bool served{false};
    };

    struct play_result
    {
        int patient{}; ///< callers that could wait for long enough
        int served{};  ///< of these
        /// The thread of the callers only sleeps for a moment between two
        /// rounds, so a long gap is one in which this process did not run.
        millis longest_pause{};
    };

    // Guards against a router that is behind and spends all its time on callers
    // that have left: then no caller is served.
    void a_router_that_stays_behind_serves_patient_callers()
    {
        constexpr int tries = 3;
        constexpr millis pause{100};
        auto all = play_callers();
        // A process that is not run for a while cannot serve them in time.
        for (int i = 1; i < tries && all.longest_pause >= pause; ++i)
        {
            all = play_callers();
        }
        // Eight turns fit into the time of a patient caller.
        CPPUNIT_ASSERT_MESSAGE(
            std::to_string(all.served) + " of " + std::to_string(all.patient) +
                ", paused for " + std::to_string(all.longest_pause.count()) +
                " ms",
            all.served * 4 >= all.patient * 3);
    }

    static play_result play_callers()
    {
        constexpr int callers = 60;
        constexpr millis turn{250};
        constexpr millis arriving{2'000};
        constexpr millis patient{2'000};
        constexpr millis late{500};
        separate_server server;
        fleet_site site;
        site.route_timeout = duration{3'000};
        site.put_configuration(2);
        site.list_server("i-1", "app", server.address());
        CPPUNIT_ASSERT(site.run_until(
            [&]
            {
                return site.readiness() == 200 &&
                       site.send(timed_request("warm", millis{2'000})).status ==
                           200;
            }));
        auto const start = std::chrono::steady_clock::now();
        asio::post(site.loop,
                   [&] { slow_turns(site.loop, turn, start + millis{5'000}); });
        std::list<impatient_caller> all;
        for (int i = 0; i < callers; ++i)
        {
            auto const begin = start + arriving * i / callers;
            // From 0.2 to 2.6 s, in no order.
            auto const stays =
                millis{200 + 2'400 * (i * 7 % callers) / callers};
            all.push_back({"r-" + std::to_string(i), begin, begin + stays});
        }
        play_result result;
        auto const play = [&]
        {
            auto const end = start + millis{5'000};
            for (auto last = start; last < end;)
            {
                auto const now = std::chrono::steady_clock::now();
                result.longest_pause =
                    std::max(result.longest_pause,
                             std::chrono::duration_cast<millis>(now - last));
                last = now;
                for (auto& one : all)
                {
                    play_caller(one, site.callers_port());
                }
                std::this_thread::sleep_for(millis{1});
            }
        };
        std::thread outside{play};
        auto const end = start + millis{5'500};
        site.run_until([&] { return std::chrono::steady_clock::now() >= end; });
        outside.join();
        for (auto const& one : all)
        {
            auto const is_patient = one.leaves - one.begin >= patient;
            result.patient += is_patient ? 1 : 0;
            result.served += is_patient && one.served ? 1 : 0;
            auto const arrival = server.arrival(one.id);
            CPPUNIT_ASSERT(!arrival || one.served ||
                           *arrival <= one.leaves + late);
        }
        return result;
    }

    static void play_caller(impatient_caller& one, std::uint16_t port)
    {
        auto const now = std::chrono::steady_clock::now();
        if (!one.connection && now >= one.begin && now < one.leaves)
        {
            one.connection = std::make_unique<standalone_client>(port);
            one.connection->send(timed_request(
                one.id,
                std::chrono::duration_cast<millis>(one.leaves - one.begin)));
        }
        if (one.connection)
        {
            one.served = one.served || one.connection->received().status == 200;
            if (now >= one.leaves)
            {
                one.connection.reset();
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(late_loop_callers_test);
