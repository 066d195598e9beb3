#include "stand_in/chat_client.hpp"

#include "stand_in/service.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <thread>

using namespace caperpath;
using namespace caperpath::stand_in;
using namespace stand_in_test;

namespace
{

struct running_service
{
    running_service()
        : fake{{.name = "taller", .work = {0}, .load_lag = {0}},
               clock::monotonic()},
          port{fake.start()}
    {
    }

    httplib::Result order(std::string const& key) const
    {
        httplib::Client client{"127.0.0.1", this->port};
        return client.Put("/parts/7", {{"Idempotency-Key", key}}, "battery",
                          "text/plain");
    }

    int executions(std::string const& key) const
    {
        return get(this->port, "/executions").value(key, 0);
    }

    service fake;
    int port;
};

} // namespace

class service_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(service_test);
    CPPUNIT_TEST(reports_what_it_ran);
    CPPUNIT_TEST(a_call_with_a_lost_response_has_run);
    CPPUNIT_TEST(a_silent_call_has_run_and_ends_when_cleared);
    CPPUNIT_TEST(a_rejected_call_has_not_run);
    CPPUNIT_TEST(example_settings_load);
    CPPUNIT_TEST_SUITE_END();

    void reports_what_it_ran()
    {
        running_service const service;
        service.order("k");
        auto const answer = nlohmann::json::parse(service.order("k")->body);
        nlohmann::json const expected{
            {"service", "taller"}, {"key", "k"},         {"execution", 2},
            {"method", "PUT"},     {"path", "/parts/7"}, {"body", "battery"}};
        CPPUNIT_ASSERT(answer == expected);
        httplib::Client client{"127.0.0.1", service.port};
        auto const bytes = client.Post("/scan", {{"X-Request-Id", "r"}},
                                       "\xff\xfe", "image/png");
        CPPUNIT_ASSERT_EQUAL(200, bytes->status);
        CPPUNIT_ASSERT_EQUAL(1, service.executions("r"));
    }

    // The call runs, then the connection breaks before the response. A caller
    // that retries after the break runs the call twice.
    void a_call_with_a_lost_response_has_run()
    {
        running_service const service;
        post(service.port, "/faults", {{"kind", "drop_answer"}, {"count", 1}});
        CPPUNIT_ASSERT(!service.order("k"));
        CPPUNIT_ASSERT_EQUAL(1, service.executions("k"));
        CPPUNIT_ASSERT_EQUAL(200, service.order("k")->status);
        CPPUNIT_ASSERT_EQUAL(2, service.executions("k"));
    }

    // The call runs, but the connection stays open without a response. The
    // caller cannot know whether the call ran.
    void a_silent_call_has_run_and_ends_when_cleared()
    {
        running_service const service;
        post(service.port, "/faults", {{"kind", "silent"}, {"count", 1}});
        bool answered = true;
        std::thread waiting{[&]
                            {
                                answered = bool{service.order("k")};
                            }};
        while (service.executions("k") == 0)
        {
            std::this_thread::yield();
        }
        CPPUNIT_ASSERT_EQUAL(200, service.order("other")->status);
        httplib::Client{"127.0.0.1", service.port}.Delete("/faults");
        waiting.join();
        CPPUNIT_ASSERT(!answered);
        CPPUNIT_ASSERT_EQUAL(1, service.executions("k"));
    }

    // A service that fails, is down or is draining rejects a call. It must not
    // have run the call, and the draining one reports that.
    void a_rejected_call_has_not_run()
    {
        running_service const service;
        post(service.port, "/faults", {{"kind", "error"}, {"count", 1}});
        CPPUNIT_ASSERT_EQUAL(500, service.order("k")->status);
        post(service.port, "/faults", {{"kind", "outage"}, {"count", 1}});
        CPPUNIT_ASSERT(!service.order("k"));
        post(service.port, "/orders", {{"fencing", 1}, {"order", "leave"}});
        auto const refused = service.order("k");
        CPPUNIT_ASSERT_EQUAL(503, refused->status);
        CPPUNIT_ASSERT(refused->has_header("Caperpath-Leaving"));
        CPPUNIT_ASSERT(refused->has_header("Caperpath-Not-Run"));
        CPPUNIT_ASSERT(get(service.port, "/load")["leaving"].get<bool>());
        CPPUNIT_ASSERT_EQUAL(0, service.executions("k"));
    }

    void example_settings_load()
    {
        std::vector<config::fault> faults;
        auto const settings =
            parse_service_settings(example("service.json"), faults);
        CPPUNIT_ASSERT(faults.empty());
        CPPUNIT_ASSERT_EQUAL(std::string{"taller-app-1"}, settings.name);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(service_test);
