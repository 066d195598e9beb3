#include <caperpath/fleet/placement.hpp>
#include <caperpath/fleet/stream_version.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

using namespace caperpath;
using namespace caperpath::fleet;

class stream_version_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stream_version_test);
    CPPUNIT_TEST(only_servers_of_the_version_fit);
    CPPUNIT_TEST(streams_are_forgotten_after_their_lifetime);
    CPPUNIT_TEST(conflicting_records_make_a_version_unknown);
    CPPUNIT_TEST(the_memory_is_bounded);
    CPPUNIT_TEST(a_key_belongs_to_one_customer);
    CPPUNIT_TEST(one_version_is_certain_after_a_lifetime);
    CPPUNIT_TEST(a_version_that_came_and_went_counts);
    CPPUNIT_TEST(an_outage_of_the_store_ends_the_certainty);
    CPPUNIT_TEST(reports_of_the_stream_come_first);
    CPPUNIT_TEST(contradicting_reports_prove_nothing);
    CPPUNIT_TEST(a_server_that_changed_its_version_proves_nothing);
    CPPUNIT_TEST(a_change_counts_for_a_stream_lifetime);
    CPPUNIT_TEST(an_uncertain_report_proves_nothing);
    CPPUNIT_TEST(a_stream_that_went_on_names_all_its_servers);
    CPPUNIT_TEST(the_loss_of_three_routers_leaves_a_keeper);
    CPPUNIT_TEST_SUITE_END();

    static constexpr instant start{1'000'000};
    static constexpr duration second{1'000};
    static constexpr server_key server{7};

    static server_entry entry_of(std::string const& id,
                                 std::string const& version)
    {
        server_entry entry;
        entry.id = {id};
        entry.service = {"s"};
        entry.address = "10.0.0.1:80";
        entry.version = version;
        entry.slots = 4;
        return entry;
    }

    static server_table
    table_of(std::vector<std::pair<std::string, std::string>> const& servers)
    {
        server_table table;
        for (auto const& [id, version] : servers)
        {
            list_server(table, entry_of(id, version), start);
        }
        return table;
    }

    static std::optional<std::string> placed(server_table const& table,
                                             std::string const& version)
    {
        service of;
        of.id = {"s"};
        placement_request item{{"s"}};
        item.version = version;
        auto const where = choose_placement(table, of, item, prefix_history{10},
                                            {}, {}, start);
        return where ? std::optional{where->server.value} : std::nullopt;
    }

    static std::optional<std::string>
    resumed(std::vector<stream_report> const& reports)
    {
        return version_to_resume(reports, {}, start);
    }

    /// The history after `span` with `table`, noted once a second.
    static version_history after(version_history history,
                                 server_table const& table, instant from,
                                 duration span)
    {
        for (auto at = from; at <= from + span; at = at + second)
        {
            history = note_versions(std::move(history), table, at);
        }
        return history;
    }

    // Guards against a stream that goes on at another version, or at a server
    // whose version is unknown.
    void only_servers_of_the_version_fit()
    {
        auto const table = table_of({{"a", "v1"}, {"b", "v2"}, {"c", ""}});
        CPPUNIT_ASSERT(placed(table, "v1") == "a");
        CPPUNIT_ASSERT(placed(table, "v2") == "b");
        CPPUNIT_ASSERT(!placed(table, "v3"));
        CPPUNIT_ASSERT(!placed(table, ""));
    }

    // Guards against an id that is used again long after its stream.
    void streams_are_forgotten_after_their_lifetime()
    {
        stream_versions known;
        known.note(1, {"v1", server}, start);
        known.note(1, {"v1", server}, start + second);
        CPPUNIT_ASSERT(known.find(1, start + stream_lifetime) ==
                       (stream_sources{"v1", {server}}));
        CPPUNIT_ASSERT(!known.find(1, start + stream_lifetime + second));
        CPPUNIT_ASSERT(!known.find(2, start));
    }

    // Guards against a version that is guessed for an id used twice.
    void conflicting_records_make_a_version_unknown()
    {
        stream_versions known;
        known.note(1, {"v1", server}, start);
        known.note(1, {"v2", server}, start);
        known.note(1, {"v2", server}, start);
        CPPUNIT_ASSERT(!known.find(1, start));
        CPPUNIT_ASSERT(known.all(start).empty());
    }

    // Guards against callers that use up the memory.
    void the_memory_is_bounded()
    {
        stream_versions known;
        for (stream_key i = 0; i <= max_known_streams; ++i)
        {
            known.note(i, {"v1", server}, start);
        }
        CPPUNIT_ASSERT(!known.find(0, start));
        CPPUNIT_ASSERT(known.all(start).at({"v1", server}).size() ==
                       max_known_streams);
    }

    // Guards against resuming another customer's stream.
    void a_key_belongs_to_one_customer()
    {
        CPPUNIT_ASSERT(stream_key_of({"a"}, "r1") !=
                       stream_key_of({"b"}, "r1"));
        CPPUNIT_ASSERT(stream_key_of({"a"}, "r1") ==
                       stream_key_of({"a"}, "r1"));
    }

    // Guards against a router that has just started and has seen no other
    // version yet.
    void one_version_is_certain_after_a_lifetime()
    {
        auto const table = table_of({{"a", "v1"}, {"b", "v1"}});
        auto history = after({}, table, start, stream_lifetime - second);
        auto const end = start + stream_lifetime;
        CPPUNIT_ASSERT(!only_version(history, {"s"}, end - second));
        history = after(history, table, end, second);
        CPPUNIT_ASSERT(only_version(history, {"s"}, end) == "v1");
        CPPUNIT_ASSERT(!only_version(history, {"other"}, end));
        history = note_version(history, entry_of("c", ""), end);
        CPPUNIT_ASSERT(!only_version(history, {"s"}, end));
    }

    // Guards against streams of a version that served for a moment only.
    void a_version_that_came_and_went_counts()
    {
        auto const table = table_of({{"a", "v1"}});
        auto history = after({}, table, start, stream_lifetime);
        auto const seen = start + stream_lifetime;
        history = note_version(history, entry_of("b", "v2"), seen);
        history = after(history, table, seen, stream_lifetime - second);
        CPPUNIT_ASSERT(
            !only_version(history, {"s"}, seen + stream_lifetime - second));
        history = after(history, table, seen + stream_lifetime, second);
        CPPUNIT_ASSERT(only_version(history, {"s"},
                                    seen + stream_lifetime + second) == "v1");
    }

    // Guards against a router that is cut off from the store while servers of
    // another version start.
    void an_outage_of_the_store_ends_the_certainty()
    {
        auto table = table_of({{"a", "v1"}});
        auto history = after({}, table, start, stream_lifetime);
        auto const end = start + stream_lifetime;
        table.store_reachable = false;
        history = note_versions(history, table, end);
        CPPUNIT_ASSERT(!only_version(history, {"s"}, end));
        table.store_reachable = true;
        history = note_versions(history, table, end + second);
        CPPUNIT_ASSERT(!only_version(history, {"s"}, end + second));
    }

    // Guards against resuming at the version that serves now.
    void reports_of_the_stream_come_first()
    {
        CPPUNIT_ASSERT(resumed({{{"", {}}, "v2"}, {{"v1", {}}, ""}}) == "v1");
        CPPUNIT_ASSERT(resumed({{{"", {}}, ""}, {{"", {}}, "v2"}}) == "v2");
        CPPUNIT_ASSERT(!resumed({{{"", {}}, ""}}));
        CPPUNIT_ASSERT(!resumed({}));
    }

    // Guards against a lottery between routers that disagree.
    void contradicting_reports_prove_nothing()
    {
        CPPUNIT_ASSERT(!resumed({{{"v1", {}}, ""}, {{"v2", {}}, ""}}));
        CPPUNIT_ASSERT(!resumed({{{"v1", {}}, "v1"}, {{"v2", {}}, "v1"}}));
        CPPUNIT_ASSERT(!resumed({{{"", {}}, "v1"}, {{"", {}}, "v2"}}));
    }

    // Guards against going on at the version that a server's entry named before
    // the server started again under its id, whoever made the record.
    void a_server_that_changed_its_version_proves_nothing()
    {
        auto const a = server_key_of({"a"});
        auto const b = server_key_of({"b"});
        auto history = note_version({}, entry_of("a", "v1"), start);
        history = note_version(std::move(history), entry_of("b", "v1"), start);
        CPPUNIT_ASSERT(is_certain(history, {"v1", {a, b}}, start));
        history = note_version(std::move(history), entry_of("a", "v2"), start);
        CPPUNIT_ASSERT(!is_certain(history, {"v1", {a}}, start));
        CPPUNIT_ASSERT(!is_certain(history, {"v1", {b, a}}, start));
        CPPUNIT_ASSERT(is_certain(history, {"v1", {b}}, start));
        CPPUNIT_ASSERT(is_certain(history, {"v2", {a}}, start));
        std::vector<stream_report> const reports{{{}, "v1"}, {{"v1", {a}}, ""}};
        CPPUNIT_ASSERT(!version_to_resume(reports, history, start));
    }

    // Guards against a server that changes its version twice, and against ids
    // that are remembered for ever.
    void a_change_counts_for_a_stream_lifetime()
    {
        auto const a = server_key_of({"a"});
        auto history = after({}, table_of({{"a", "v1"}}), start, second);
        auto const changed = start + second;
        history =
            note_version(std::move(history), entry_of("a", "v2"), changed);
        history =
            note_version(std::move(history), entry_of("a", "v1"), changed);
        auto const almost = changed + stream_lifetime - duration{1};
        CPPUNIT_ASSERT(!is_certain(history, {"v1", {a}}, almost));
        CPPUNIT_ASSERT(
            is_certain(history, {"v1", {a}}, changed + stream_lifetime));
        history = after(std::move(history), table_of({}),
                        changed + stream_lifetime, second);
        CPPUNIT_ASSERT(history.servers.empty());
    }

    // Guards against an uncertain record at one router that others overlook.
    void an_uncertain_report_proves_nothing()
    {
        CPPUNIT_ASSERT(!resumed({{{}, "", true}, {{"v1", {}}, "v1"}}));
        CPPUNIT_ASSERT(!resumed({{{}, "v1", true}}));
    }

    // Guards against forgetting where a stream was before it went on.
    void a_stream_that_went_on_names_all_its_servers()
    {
        stream_versions known;
        known.note(1, {"v1", 7}, start);
        known.note(1, {"v1", 8}, start);
        known.note(1, {"v1", 7}, start);
        CPPUNIT_ASSERT(known.find(1, start) == (stream_sources{"v1", {7, 8}}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, known.all(start).size());
    }

    // Guards against streams that nobody knows any more once the router that
    // began them and two others are gone, whoever asks.
    void the_loss_of_three_routers_leaves_a_keeper()
    {
        constexpr std::size_t routers = 8;
        constexpr std::size_t keepers = 3;
        std::vector<std::string> all;
        for (std::size_t i = 0; i < routers; ++i)
        {
            all.push_back("10.0.0." + std::to_string(i) + ":80");
        }
        auto const without = [](std::vector<std::string> from,
                                std::vector<std::string> const& lost)
        {
            for (auto const& one : lost)
            {
                std::erase(from, one);
            }
            return from;
        };
        for (stream_key stream = 1; stream < 50; ++stream)
        {
            auto const first = all[stream % routers];
            auto const kept =
                keepers_of(stream, without(all, {first}), keepers);
            CPPUNIT_ASSERT_EQUAL(keepers, kept.size());
            auto const asked = keepers_of(
                stream, without(all, {first, kept[0], kept[1]}), keepers);
            CPPUNIT_ASSERT(std::count(asked.begin(), asked.end(), kept[2]) ==
                           1);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_version_test);
