#include <caperpath/observe/trace_tree.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <set>

using namespace caperpath;
using namespace caperpath::observe;

namespace
{

span make_span(std::uint64_t id, std::uint64_t parent, std::int64_t start_ms,
               std::string const& request)
{
    return {{1, 1},
            {id},
            {parent},
            "step-" + std::to_string(id),
            {start_ms},
            1'500,
            {{request_attribute, request}}};
}

void collect(std::vector<trace_node> const& nodes,
             std::multiset<std::uint64_t>& ids)
{
    for (auto const& node : nodes)
    {
        ids.insert(node.value.id.value);
        collect(node.children, ids);
    }
}

} // namespace

class trace_tree_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(trace_tree_test);
    CPPUNIT_TEST(any_order_and_any_parents_show_each_span_once);
    CPPUNIT_TEST(a_missing_parent_makes_a_marked_root);
    CPPUNIT_TEST(other_requests_of_the_trace_stay_out);
    CPPUNIT_TEST_SUITE_END();

    // Spans of several routers arrive in any order; some are dropped and some
    // are read twice. The tree must contain every recorded span exactly once.
    void any_order_and_any_parents_show_each_span_once()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                auto const number = rc::gen::inRange<std::uint64_t>(1, 12);
                auto const links = *rc::gen::container<
                    std::vector<std::pair<std::uint64_t, std::uint64_t>>>(
                    rc::gen::pair(number, number));
                std::vector<span> spans;
                std::set<std::uint64_t> expected;
                for (auto const& [id, parent] : links)
                {
                    spans.push_back(make_span(id, parent, 5, "r"));
                    expected.insert(id);
                }
                std::multiset<std::uint64_t> shown;
                collect(build_tree(spans, "r"), shown);
                RC_ASSERT(shown == std::multiset<std::uint64_t>(
                                       expected.begin(), expected.end()));
            }));
    }

    void a_missing_parent_makes_a_marked_root()
    {
        auto const roots =
            build_tree({make_span(4, 3, 12, "r"), make_span(7, 6, 30, "r"),
                        make_span(3, 0, 10, "r"), make_span(5, 3, 11, "r")},
                       "r");
        CPPUNIT_ASSERT_EQUAL(
            std::string{"step-3 at=0ms took=1.500ms\n"
                        "  step-5 at=1ms took=1.500ms\n"
                        "  step-4 at=2ms took=1.500ms\n"
                        "step-7 at=20ms took=1.500ms (parent not recorded)\n"},
            to_text(roots));
    }

    void other_requests_of_the_trace_stay_out()
    {
        auto const roots =
            build_tree({make_span(1, 0, 0, "other"), make_span(2, 1, 1, "r"),
                        make_span(3, 2, 2, ""), make_span(4, 1, 3, "other")},
                       "r");
        std::multiset<std::uint64_t> shown;
        collect(roots, shown);
        CPPUNIT_ASSERT((shown == std::multiset<std::uint64_t>{2, 3}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(trace_tree_test);
