#include <caperpath/config/codec.hpp>
#include <caperpath/config/store.hpp>
#include <caperpath/controllers/config_controller.hpp>
#include <caperpath/store/memory_table.hpp>

#include <caf/all.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <thread>

using namespace caperpath;
using namespace caperpath::controllers;
using store::injected_fault;

namespace
{

// Has no timeout: the timeout of ctest ends a test that hangs.
template <class Condition>
void wait_until(Condition condition)
{
    while (!condition())
    {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
}

struct fixture
{
    std::shared_ptr<store::memory_table> table{
        std::make_shared<store::memory_table>()};
    std::atomic<injected_fault> fault{injected_fault::none};
    std::atomic<int> get_failures_left{0};
    store::port good{store::make_memory_port(table)};
    store::port faulty{
        store::make_memory_port(table, [this](std::string const& step)
                                { return this->next_fault(step); })};
    caf::actor_system_config config;
    caf::actor_system system{config};

    injected_fault next_fault(std::string const& step)
    {
        if (step == "get object" && this->get_failures_left > 0)
        {
            --this->get_failures_left;
            return injected_fault::outage;
        }
        return this->fault;
    }

    void submit_version(std::uint64_t base)
    {
        auto const id = "p" + std::to_string(base);
        auto const outcome = config::submit_patch(
            this->good, {base,
                         {{"budgets", {{id, nlohmann::json::object()}}}},
                         id,
                         "",
                         {}});
        CPPUNIT_ASSERT(outcome.status == config::patch_status::accepted);
    }
};

config_controller_options fast_polling()
{
    return {{4}, 1, {"router-a"}};
}

// The object name and the text of a document with this version.
std::pair<std::string, std::string> peer_document(std::uint64_t version)
{
    config::document made;
    made.version = version;
    auto const text = config::to_json(made).dump();
    return {config::object_name(version, text), text};
}

} // namespace

class config_controller_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(config_controller_test);
    CPPUNIT_TEST(follows_the_store_and_survives_its_outage);
    CPPUNIT_TEST(new_router_waits_for_the_store);
    CPPUNIT_TEST(rejects_damaged_and_older_documents);
    CPPUNIT_TEST(obeys_drain_commands_for_its_own_incarnation_only);
    CPPUNIT_TEST_SUITE_END();

    // The store goes down after a version is in force, and the first loads of
    // the next one fail. Guards against serving no version in between, and
    // against not loading the next one once the store is back.
    void follows_the_store_and_survives_its_outage()
    {
        fixture site;
        config_controller controller{site.system, site.faulty, fast_polling()};
        auto const port = controller.port();
        CPPUNIT_ASSERT(!port.current());
        site.submit_version(0);
        wait_until([&] { return controller.ready(); });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, port.current()->version);
        site.fault = injected_fault::outage;
        site.submit_version(1);
        auto const failed = controller.status().failed_polls;
        wait_until([&]
                   { return controller.status().failed_polls > failed + 2; });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, port.current()->version);
        site.get_failures_left = 3;
        site.fault = injected_fault::none;
        wait_until([&] { return port.current()->version == 2; });
        CPPUNIT_ASSERT_EQUAL(0, site.get_failures_left.load());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, controller.status().loads);
    }

    // A new router gets a document from a peer while the store is down. The
    // document may be old, so serving it before the store has confirmed a
    // version could admit a revoked key.
    void new_router_waits_for_the_store()
    {
        fixture site;
        site.submit_version(0);
        site.submit_version(1);
        site.fault = injected_fault::outage;
        config_controller controller{site.system, site.faulty, fast_polling()};
        auto const [object, text] = peer_document(1);
        CPPUNIT_ASSERT(controller.offer(object, text));
        wait_until([&] { return controller.status().failed_polls > 2; });
        CPPUNIT_ASSERT(!controller.ready());
        CPPUNIT_ASSERT(!controller.port().current());
        site.fault = injected_fault::none;
        controller.poll_now();
        wait_until([&] { return controller.ready(); });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                             controller.port().current()->version);
    }

    void rejects_damaged_and_older_documents()
    {
        fixture site;
        site.submit_version(0);
        config_controller controller{site.system, site.good, fast_polling()};
        wait_until([&] { return controller.ready(); });
        auto const [object, text] = peer_document(1);
        CPPUNIT_ASSERT(!controller.offer(object, text));
        CPPUNIT_ASSERT(!controller.offer(peer_document(2).first, text));
        CPPUNIT_ASSERT(!controller.offer("config/9-", "{"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3},
                             controller.status().rejected_offers);
        auto const [newer, newer_text] = peer_document(5);
        CPPUNIT_ASSERT(controller.offer(newer, newer_text));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5},
                             controller.port().current()->version);
    }

    // A VM was drained and replaced at the same address. Guards against the old
    // drain command stopping the new router.
    void obeys_drain_commands_for_its_own_incarnation_only()
    {
        fixture site;
        site.submit_version(0);
        config::command_drain(site.good, {"router-b"}, "operator", {1});
        config_controller controller{site.system, site.good, fast_polling()};
        wait_until([&] { return controller.status().polls > 1; });
        CPPUNIT_ASSERT(!controller.drain_commanded());
        config::command_drain(site.good, {"router-a"}, "operator", {1});
        wait_until([&] { return controller.drain_commanded(); });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_controller_test);
