#include "http/server.hpp"
#include "load/attempt.hpp"
#include "load/caller.hpp"
#include "load/planner.hpp"
#include "load/scenario.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <set>

using namespace caperpath;
using namespace caperpath::load;

namespace
{

scenario example()
{
    std::ifstream input{CAPERPATH_SOURCE_DIR "/examples/load.json"};
    std::vector<config::fault> faults;
    auto read = read_scenario(nlohmann::json::parse(input), faults);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, faults.size());
    return read;
}

std::vector<planned_request> all_of(scenario const& plan)
{
    planner arrivals{plan, "run"};
    std::vector<planned_request> all;
    while (auto one = arrivals.next())
    {
        all.push_back(*one);
    }
    return all;
}

// A fake router that sends the same response to every order and records the
// keys.
struct fake_router
{
    fake_router(int status, std::string const& outcome)
    {
        this->server.Post(
            "/services/taller-app/parts",
            [this, status, outcome](httplib::Request const& request,
                                    httplib::Response& response)
            {
                this->keys.push_back(
                    request.get_header_value("Idempotency-Key"));
                response.status = status;
                response.set_header("Caperpath-Outcome", outcome);
                response.set_content(R"({"error":{"code":"busy"}})",
                                     "application/json");
            });
        auto const port = this->server.start("127.0.0.1:0");
        this->address = "127.0.0.1:" + std::to_string(port);
    }

    std::string address;
    std::vector<std::string> keys;
    http::server server;
};

record send_order(std::vector<std::string> const& routers)
{
    auto plan = example();
    plan.routers = routers;
    plan.retries = {3, {1}, {1}};
    planned_request order;
    order.customer = plan.customers.size() - 1;
    order.key = "order-1";
    return caller{plan, observe::stopwatch{}}.run(order);
}

} // namespace

class run_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(run_test);
    CPPUNIT_TEST(a_run_can_be_replayed);
    CPPUNIT_TEST(reports_every_fault);
    CPPUNIT_TEST(retries_at_the_next_router_with_the_same_key);
    CPPUNIT_TEST(does_not_retry_a_final_outcome);
    CPPUNIT_TEST(backs_off_as_requested);
    CPPUNIT_TEST_SUITE_END();

    void a_run_can_be_replayed()
    {
        auto const plan = example();
        auto const all = all_of(plan);
        CPPUNIT_ASSERT(all == all_of(plan));
        std::set<std::string> keys;
        std::int64_t last_us = 0;
        for (auto const& one : all)
        {
            keys.insert(one.key);
            CPPUNIT_ASSERT(one.start_us >= last_us);
            last_us = one.start_us;
        }
        CPPUNIT_ASSERT_EQUAL(all.size(), keys.size());
        // 20 per second for 20 s; the seed fixes the number, near the mean.
        CPPUNIT_ASSERT(all.size() > 340 && all.size() < 460);
    }

    void reports_every_fault()
    {
        auto const value = nlohmann::json::parse(R"({
            "routers": ["localhost:1"], "arrivals_per_second": 0,
            "progres_ms": 5, "customers": [{"name": "a", "key": "k",
            "kind": "chat", "model": "m", "least_tokens": 5,
            "most_tokens": 4}]})");
        std::vector<config::fault> faults;
        read_scenario(value, faults);
        std::set<std::string> paths;
        for (auto const& one : faults)
        {
            paths.insert(one.path);
        }
        std::set<std::string> const expected{"/routers", "/arrivals_per_second",
                                             "/progres_ms", "/customers/0/kind",
                                             "/customers/0/most_tokens"};
        CPPUNIT_ASSERT(paths == expected);
    }

    // A router is busy or down. The caller must retry at the next router with
    // the same key; with a new key the order could run twice.
    void retries_at_the_next_router_with_the_same_key()
    {
        fake_router busy{503, "not-run"};
        fake_router works{200, ""};
        auto const got = send_order({busy.address, works.address});
        CPPUNIT_ASSERT(got.end == ending::completed);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, got.attempts);
        CPPUNIT_ASSERT_EQUAL(std::string{"completed"}, got.outcome);
        CPPUNIT_ASSERT(busy.keys == std::vector<std::string>{"order-1"});
        CPPUNIT_ASSERT(works.keys == busy.keys);
    }

    void does_not_retry_a_final_outcome()
    {
        fake_router exhausted{402, "not-run"};
        auto const refused = send_order({exhausted.address});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, refused.attempts);
        CPPUNIT_ASSERT_EQUAL(std::string{"busy"}, refused.code);
        fake_router ran{502, "completed"};
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1},
                             send_order({ran.address}).attempts);
    }

    void backs_off_as_requested()
    {
        retry_policy const retries{5, {100}, {5'000}};
        CPPUNIT_ASSERT(backoff_before(2, {0}, retries) == duration{100});
        CPPUNIT_ASSERT(backoff_before(4, {0}, retries) == duration{400});
        CPPUNIT_ASSERT(backoff_before(2, {3'000}, retries) == duration{3'000});
        CPPUNIT_ASSERT(backoff_before(99, {0}, retries) == duration{5'000});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(run_test);
