#include "config/document_strategy.hpp"

#include <caperpath/config/patch.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <iterator>
#include <set>

using namespace caperpath;
using namespace caperpath::config;

class codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(codec_test);
    CPPUNIT_TEST(reads_what_it_writes);
    CPPUNIT_TEST(names_every_fault_by_path);
    CPPUNIT_TEST(a_duplicate_key_is_a_fault);
    CPPUNIT_TEST(a_mistyped_patch_is_a_fault);
    CPPUNIT_TEST(changes_and_overlap);
    CPPUNIT_TEST(the_example_is_valid);
    CPPUNIT_TEST(finds_the_owner_of_a_key);
    CPPUNIT_TEST_SUITE_END();

    void reads_what_it_writes()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                auto const source = any_document();
                std::vector<fault> faults;
                auto const text = to_json(source).dump();
                auto const again =
                    parse_document(parse_text(text, faults), faults);
                RC_ASSERT(faults.empty());
                RC_ASSERT(again == source);
                RC_ASSERT(to_json(again).dump() == text);
            }));
    }

    // Guards against reporting only the first fault of a document: an operator
    // with several mistakes would need one round trip per mistake.
    void names_every_fault_by_path()
    {
        auto const value = nlohmann::json::parse(R"({
            "customers": {
                "taller": {"budget": "tallr", "priority": 1000,
                           "keys": [{"salt": "x", "sha256": "y"}]},
                "bad name": {"budget": "taller", "max_concurent": 3}},
            "budgets": {"taller": {"policy": "none"}},
            "models": {"asistente": {"prompt_price": -1}},
            "services": {"app": {"calls": [{"method": "get",
                                            "path_prefix": "orders"}]}},
            "backend_servers": {
                "e1": {"kind": "engine", "serves": "asistent",
                       "address": "127.0.0.1:1", "failure_domain": ""},
                "e2": {"kind": "plain_service", "serves": "asistente",
                       "address": "127.0.0.1:1", "failure_domain": "mapo"},
                "e3": {"kind": "gpu", "serves": "asistente",
                       "address": "localhost", "failure_domain": "mapo"}},
            "routing": {"policy": "roundrobin", "request_timeout_ms": 0}})");
        std::vector<fault> faults;
        parse_document(value, faults);
        std::set<std::string> paths;
        for (auto const& one : faults)
        {
            paths.insert(one.path);
        }
        std::set<std::string> const expected{
            "/customers/taller/budget",
            "/customers/taller/priority",
            "/customers/taller/keys/0/salt",
            "/customers/taller/keys/0/sha256",
            "/customers/bad name",
            "/customers/bad name/max_concurent",
            "/budgets/taller/policy",
            "/models/asistente/prompt_price",
            "/services/app/calls/0/method",
            "/services/app/calls/0/path_prefix",
            "/backend_servers/e1/serves",
            "/backend_servers/e1/failure_domain",
            "/backend_servers/e2/serves",
            "/backend_servers/e2/address",
            "/backend_servers/e3/kind",
            "/backend_servers/e3/address",
            "/routing/policy",
            "/routing/request_timeout_ms"};
        CPPUNIT_ASSERT(paths == expected);
        CPPUNIT_ASSERT_EQUAL(expected.size(), faults.size());
    }

    void a_duplicate_key_is_a_fault()
    {
        std::vector<fault> faults;
        parse_text(R"({"services": {"app": {"calls": [{}, [{"x": 1}],
                       {"price": 1, "method": "GET", "price": 2}]}}})",
                   faults);
        std::vector<fault> const expected{
            {"/services/app/calls/2/price", "this key stands twice"}};
        CPPUNIT_ASSERT(faults == expected);
    }

    // The library asserts, or does nothing in a release build, if a path goes
    // through a string. An operator would see a change accepted that was not
    // made.
    void a_mistyped_patch_is_a_fault()
    {
        auto const base = nlohmann::json::parse(R"({"name": "x", "a": [1]})");
        auto const patch = nlohmann::json::parse(R"([
            {"op": "add", "path": "/name/first", "value": 1},
            {"op": "remove", "path": "/name/first"},
            {"op": "replace", "path": "/nme", "value": 1},
            {"op": "add", "path": "/a/7", "value": 1},
            {"op": "remove", "path": ""},
            {"op": "test", "path": "/name", "value": "y"},
            {"op": "ad", "path": "/name", "value": 1},
            {"path": "/name"}, 7, {"op": "add", "path": "name", "value": 1}])");
        std::vector<fault> faults;
        apply_patch(base, patch, faults);
        CPPUNIT_ASSERT_EQUAL(patch.size(), faults.size());
        faults.clear();
        apply_patch(base, nlohmann::json{7}.at(0), faults);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, faults.size());
    }

    void changes_and_overlap()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                auto const before = to_json(any_document());
                auto const after = to_json(any_document());
                auto const found = changes_between(before, after);
                auto made = before;
                for (auto const& one : found)
                {
                    nlohmann::json::json_pointer const at{one.path};
                    if (one.after.empty())
                    {
                        made.at(at.parent_pointer()).erase(at.back());
                        continue;
                    }
                    made[at] = nlohmann::json::parse(one.after);
                }
                made["version"] = after["version"];
                RC_ASSERT(made == after);
            }));
        std::vector<change> const changed{{"/customers/a/priority", "1", "2"}};
        CPPUNIT_ASSERT(overlap({"/customers/a"}, changed));
        CPPUNIT_ASSERT(overlap({"/customers/a/priority/x"}, changed));
        CPPUNIT_ASSERT(!overlap({"/customers/a/prio"}, changed));
        CPPUNIT_ASSERT(!overlap({"/customers/ab", "/name"}, changed));
    }

    void the_example_is_valid()
    {
        std::ifstream file{CAPERPATH_SOURCE_DIR "/examples/configuration.json"};
        std::string const text{std::istreambuf_iterator<char>{file}, {}};
        std::vector<fault> faults;
        auto const made = parse_document(parse_text(text, faults), faults);
        CPPUNIT_ASSERT(faults.empty());
        CPPUNIT_ASSERT(
            !made.services.at({"taller-app"}).calls.at(0).idempotent);
        CPPUNIT_ASSERT(!made.services.at({"asset-svc"}).calls.at(0).idempotent);
        std::string const secret = "0123456789abcdef0123456789abcdef"
                                   "0123456789abcdef0123456789abcdef";
        auto const owner = find_customer(made, "cp_families_" + secret);
        CPPUNIT_ASSERT(owner == customer_id{"families"});
    }

    // A key that has one wrong byte, belongs to another customer or is
    // truncated must not be accepted; it would spend another customer's budget.
    void finds_the_owner_of_a_key()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                auto const secret = *rc::gen::container<std::string>(
                    secret_bytes, rc::gen::arbitrary<char>());
                auto const salt = *rc::gen::container<std::string>(
                    salt_bytes, rc::gen::arbitrary<char>());
                customer_id const owner{
                    *rc::gen::element<std::string>("a", "a_b", "_", "c-d.e")};
                auto const key = make_key(owner, secret);
                document source;
                source.customers[owner].keys = {hash_key("old", salt),
                                                hash_key(key, salt)};
                source.customers[{"other"}].keys = {hash_key("other", salt)};
                RC_ASSERT(find_customer(source, key) == owner);
                auto wrong = key;
                auto const at = *rc::gen::inRange<std::size_t>(0, key.size());
                wrong[at] = static_cast<char>(wrong[at] ^ 1);
                RC_ASSERT(!find_customer(source, wrong));
                RC_ASSERT(!find_customer(source, key.substr(0, at)));
                RC_ASSERT(!find_customer(source, make_key({"other"}, secret)));
                RC_ASSERT(!find_customer(source, make_key({"none"}, secret)));
            }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(codec_test);
