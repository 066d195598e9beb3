#include "http/fault_plan.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <algorithm>

using namespace caperpath;
using nlohmann::json;

class fault_plan_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fault_plan_test);
    CPPUNIT_TEST(applies_to_count_calls);
    CPPUNIT_TEST(an_outage_expires);
    CPPUNIT_TEST(a_seed_selects_the_same_calls);
    CPPUNIT_TEST(an_invalid_fault_is_reported_and_not_added);
    CPPUNIT_TEST_SUITE_END();

    http::fault_vocabulary const vocabulary{{"commit", "read"},
                                            {"error", "outage", "delay"}};

    void applies_to_count_calls()
    {
        http::fault_plan plan{this->vocabulary};
        plan.add({{"step", "commit"}, {"kind", "error"}, {"count", 2}}, {0});
        CPPUNIT_ASSERT(!plan.take("read", {0}));
        CPPUNIT_ASSERT(plan.take("commit", {0}));
        CPPUNIT_ASSERT(plan.take("commit", {0}));
        CPPUNIT_ASSERT(!plan.take("commit", {0}));
    }

    void an_outage_expires()
    {
        http::fault_plan plan{this->vocabulary};
        plan.add({{"step", "any"}, {"kind", "outage"}, {"ms", 10}}, {100});
        CPPUNIT_ASSERT(plan.take("read", {109}));
        CPPUNIT_ASSERT(!plan.take("read", {110}));
    }

    void a_seed_selects_the_same_calls()
    {
        auto const affected_calls = [this]
        {
            http::fault_plan plan{this->vocabulary};
            plan.add({{"step", "any"},
                      {"kind", "error"},
                      {"count", 1'000},
                      {"probability_percent", 30},
                      {"seed", 7}},
                     {0});
            std::string calls;
            for (int i = 0; i < 1'000; ++i)
            {
                calls += plan.take("commit", {0}) ? 'x' : '.';
            }
            return calls;
        };
        auto const once = affected_calls();
        CPPUNIT_ASSERT_EQUAL(once, affected_calls());
        auto const hits = std::count(once.begin(), once.end(), 'x');
        CPPUNIT_ASSERT(hits > 250 && hits < 350);
    }

    void an_invalid_fault_is_reported_and_not_added()
    {
        http::fault_plan plan{this->vocabulary};
        for (auto const& invalid :
             {json{{"step", "comit"}, {"kind", "error"}},
              json{{"step", "any"}, {"kind", "delay"}},
              json{{"step", "any"}, {"kind", "error"}, {"count", 0}},
              json{{"step", "any"}, {"kind", "error"}, {"ms", 5}},
              json{{"step", "any"},
                   {"kind", "outage"},
                   {"ms", 5},
                   {"count", 1}}})
        {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan.add(invalid, {0}).size());
        }
        CPPUNIT_ASSERT(!plan.add("text", {0}).empty());
        CPPUNIT_ASSERT(!plan.take("commit", {0}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fault_plan_test);
