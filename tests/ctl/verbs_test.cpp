#include "ctl/verbs.hpp"

#include <caperpath/config/codec.hpp>
#include <caperpath/config/keys.hpp>
#include <caperpath/store/memory_table.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <sstream>

using namespace caperpath;
using namespace caperpath::ctl;
using nlohmann::json;
using store::injected_fault;

namespace
{

struct run_result
{
    int code{};
    json value;
};

// A simulated fake_site in memory: one table, and routers and engines that
// record the calls they receive.
struct fake_site
{
    std::shared_ptr<store::memory_table> table{
        std::make_shared<store::memory_table>()};
    std::function<injected_fault(std::string const&)> fault;
    std::vector<std::string> calls;
    int engine_status{200};
    std::uint8_t random_calls{0};

    store::port port()
    {
        return store::make_memory_port(
            this->table, [this](std::string const& step)
            { return this->fault ? this->fault(step) : injected_fault::none; });
    }

    result<http_response> call(std::string const& address,
                               std::string const& path, std::string const& body)
    {
        this->calls.push_back(address + path + " " + body);
        if (path == "/healthz")
        {
            return http_response{
                200, R"({"incarnation": "vm-1-7", "config_version": 1})"};
        }
        return http_response{this->engine_status, "{}"};
    }

    run_result run(std::vector<char const*> words)
    {
        std::ostringstream out;
        std::ostringstream err;
        session made{out,
                     err,
                     [this](std::string const&) { return this->port(); },
                     [this](std::string const& address, std::string const& path,
                            std::string const& body)
                     { return this->call(address, path, body); },
                     [this](std::size_t size)
                     {
                         ++this->random_calls;
                         return std::string(
                             size, static_cast<char>(this->random_calls));
                     },
                     caperpath::clock{[]
                                      {
                                          return instant{1};
                                      }},
                     [](duration) {
                     }};
        words.insert(words.begin(), "caperpathctl");
        words.insert(words.end(), {"--json", "--platform", "127.0.0.1:1"});
        auto const code =
            ctl::run(made, static_cast<int>(words.size()), words.data());
        return {code, json::parse(out.str(), nullptr, false)};
    }

    void prepare()
    {
        auto const file = CAPERPATH_SOURCE_DIR "/examples/configuration.json";
        CPPUNIT_ASSERT_EQUAL(
            0, this->run({"config", "patch", file, "--base", "0"}).code);
    }

    std::size_t rows() const
    {
        return this->table->scan("", "", 1'000).size();
    }
};

} // namespace

class verbs_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(verbs_test);
    CPPUNIT_TEST(creates_a_customer_with_a_key_that_works);
    CPPUNIT_TEST(a_payment_counts_once);
    CPPUNIT_TEST(a_payment_with_lost_response_is_unknown);
    CPPUNIT_TEST(changes_policies_and_names_versions);
    CPPUNIT_TEST(exit_codes);
    CPPUNIT_TEST(commands_carry_increasing_fencing_numbers);
    CPPUNIT_TEST(drains_the_running_incarnation);
    CPPUNIT_TEST(reports_stranded_tokens);
    CPPUNIT_TEST_SUITE_END();

    void creates_a_customer_with_a_key_that_works()
    {
        fake_site here;
        here.prepare();
        here.run({"budget", "create", "kim"});
        auto const made =
            here.run({"customer", "create", "kim", "--budget", "kim"});
        CPPUNIT_ASSERT_EQUAL(0, made.code);
        auto const key = made.value["key"].get<std::string>();
        auto const loaded =
            value_or_error([&] { return config::load_current(here.port()); });
        auto const& document = std::get<config::document>(loaded);
        CPPUNIT_ASSERT(config::find_customer(document, key) ==
                       customer_id{"kim"});
        auto const text = config::to_json(document).dump();
        CPPUNIT_ASSERT(text.find(key) == std::string::npos);
        auto const again =
            here.run({"customer", "create", "kim", "--budget", "kim"});
        CPPUNIT_ASSERT_EQUAL(int{exit_invalid}, again.code);
        CPPUNIT_ASSERT_EQUAL(
            int{exit_invalid},
            here.run({"customer", "create", "lee", "--budget", "none"}).code);
    }

    // The response to a top-up is lost and the operator retries it. A second
    // credit would let the customer spend tokens that were not paid.
    void a_payment_counts_once()
    {
        fake_site here;
        here.prepare();
        for (int i = 0; i < 2; ++i)
        {
            auto const paid = here.run(
                {"budget", "top-up", "families-2026", "500", "--id", "bank-1"});
            CPPUNIT_ASSERT_EQUAL(0, paid.code);
            CPPUNIT_ASSERT_EQUAL(500, paid.value["paid"].get<int>());
        }
        CPPUNIT_ASSERT_EQUAL(int{exit_conflict},
                             here.run({"budget", "top-up", "families-2026",
                                       "600", "--id", "bank-1"})
                                 .code);
        CPPUNIT_ASSERT_EQUAL(int{exit_invalid},
                             here.run({"budget", "top-up", "familis-2026",
                                       "600", "--id", "bank-2"})
                                 .code);
        auto const shown = here.run({"budget", "show", "families-2026"});
        CPPUNIT_ASSERT_EQUAL(500, shown.value["not_granted"].get<int>());
    }

    // A top-up takes effect, its response is lost, and then the store fails.
    // After "nothing took effect" the operator would submit it again under a
    // new id.
    void a_payment_with_lost_response_is_unknown()
    {
        fake_site here;
        here.prepare();
        bool down = false;
        here.fault = [&](std::string const& step)
        {
            auto const was_down = down;
            down = down || step == "commit";
            return was_down           ? injected_fault::outage
                   : step == "commit" ? injected_fault::lost_response
                                      : injected_fault::none;
        };
        CPPUNIT_ASSERT_EQUAL(int{exit_unknown},
                             here.run({"budget", "top-up", "families-2026",
                                       "500", "--id", "bank-1"})
                                 .code);
    }

    void changes_policies_and_names_versions()
    {
        fake_site here;
        here.prepare();
        auto const set = here.run({"policy", "set", "power_of_two"});
        CPPUNIT_ASSERT_EQUAL(2, set.value["version"].get<int>());
        CPPUNIT_ASSERT_EQUAL(int{exit_invalid},
                             here.run({"policy", "set", "expectd_time"}).code);
        CPPUNIT_ASSERT_EQUAL(0, here.run({"config", "name", "2", "et"}).code);
        auto const diff = here.run({"config", "diff", "baseline", "et"});
        CPPUNIT_ASSERT_EQUAL(
            std::string{"/name"},
            diff.value["changes"][0]["path"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(
            std::string{"/routing/policy"},
            diff.value["changes"][1]["path"].get<std::string>());
        auto const forward = here.run(
            {"config", "roll-forward", "baseline", "--base", "2", "--id", "r"});
        CPPUNIT_ASSERT_EQUAL(3, forward.value["version"].get<int>());
        auto const shown = here.run({"config", "show"});
        CPPUNIT_ASSERT_EQUAL(
            std::string{"least_outstanding"},
            shown.value["routing"]["policy"].get<std::string>());
        auto const log = here.run({"config", "log", "--limit", "2"});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, log.value["versions"].size());
        CPPUNIT_ASSERT_EQUAL(3, log.value["versions"][1]["version"].get<int>());
    }

    void exit_codes()
    {
        fake_site here;
        here.prepare();
        auto const file = CAPERPATH_SOURCE_DIR "/examples/configuration.json";
        auto const late = here.run({"config", "patch", file, "--base", "0"});
        CPPUNIT_ASSERT_EQUAL(int{exit_conflict}, late.code);
        CPPUNIT_ASSERT(late.value["conflict"]["same_paths"].get<bool>());
        CPPUNIT_ASSERT_EQUAL(int{exit_invalid}, here.run({"config"}).code);
        CPPUNIT_ASSERT_EQUAL(int{exit_failed},
                             here.run({"customer", "show", "nobody"}).code);
        here.fault = [](std::string const&)
        {
            return injected_fault::outage;
        };
        auto const down = here.run({"customer", "list"});
        CPPUNIT_ASSERT_EQUAL(int{exit_unavailable}, down.code);
        CPPUNIT_ASSERT(down.value["error"].contains("peer"));
        here.fault = [](std::string const& step)
        {
            return step == "commit" ? injected_fault::lost_call
                                    : injected_fault::none;
        };
        auto const before = here.rows();
        CPPUNIT_ASSERT_EQUAL(int{exit_unknown},
                             here.run({"policy", "set", "random"}).code);
        CPPUNIT_ASSERT_EQUAL(before, here.rows());
    }

    // Two operators send commands to one engine. The older command may arrive
    // last; its number must be smaller, so that an engine that checks can
    // reject it.
    void commands_carry_increasing_fencing_numbers()
    {
        fake_site here;
        here.prepare();
        here.run({"engine", "load-model", "asistente-1", "asistente"});
        here.run({"engine", "leave", "asistente-1"});
        std::vector<std::string> const expected{
            R"(127.0.0.1:9101/orders {"fencing":1,"model":"asistente",)"
            R"("order":"load_model"})",
            R"(127.0.0.1:9101/orders {"fencing":2,"order":"leave"})"};
        CPPUNIT_ASSERT(here.calls == expected);
        auto const shown = here.run({"config", "show"});
        CPPUNIT_ASSERT(shown.value["backend_servers"]["asistente-1"]["leaving"]
                           .get<bool>());
        here.engine_status = 409;
        CPPUNIT_ASSERT_EQUAL(
            int{exit_conflict},
            here.run({"engine", "set-role", "asistente-2", "prefill"}).code);
    }

    void drains_the_running_incarnation()
    {
        fake_site here;
        here.table->set_vms(
            {{"vm-1", "vm-1-6", "127.0.0.1:2", "mapo", "live"}});
        CPPUNIT_ASSERT_EQUAL(0, here.run({"drain", "vm-1"}).code);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             here.table->read({"drain/vm-1-7"}).size());
        CPPUNIT_ASSERT_EQUAL(int{exit_failed},
                             here.run({"drain", "vm-2"}).code);
    }

    void reports_stranded_tokens()
    {
        fake_site here;
        here.prepare();
        here.run({"budget", "top-up", "b", "1", "--id", "x"});
        here.table->commit(
            {{},
             {{"budget/b", R"({"paid":100,"granted":90,"retired":0,)"
                           R"("wanted":0,"holders":2})"},
              {"share/dead/b", R"({"granted":60,"exposed":0})"},
              {"share/live/b", R"({"granted":30,"exposed":0})"},
              {"holder/live", R"({"state":"active","address":"127.0.0.1:1",)"
                              R"("failure_domain":"mapo"})"},
              {"spent/live", R"({"seq":1,"spent":{"b":7}})"}}});
        auto const made = here.run({"report"});
        CPPUNIT_ASSERT_EQUAL(0, made.code);
        auto const expected = json::parse(
            R"({"paid":100,"granted":90,"spent":7,"overspend":0,"held":0,
                "stranded":60})");
        CPPUNIT_ASSERT(made.value["budgets"]["b"] == expected);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(verbs_test);
