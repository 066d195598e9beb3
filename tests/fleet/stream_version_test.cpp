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
    CPPUNIT_TEST(the_loss_of_three_routers_leaves_a_keeper);
    CPPUNIT_TEST_SUITE_END();

    static constexpr instant start{1'000'000};
    static constexpr duration second{1'000};

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
        known.note(1, "v1", start);
        known.note(1, "v1", start + second);
        CPPUNIT_ASSERT(known.find(1, start + stream_lifetime) == "v1");
        CPPUNIT_ASSERT(!known.find(1, start + stream_lifetime + second));
        CPPUNIT_ASSERT(!known.find(2, start));
    }

    // Guards against a version that is guessed for an id used twice.
    void conflicting_records_make_a_version_unknown()
    {
        stream_versions known;
        known.note(1, "v1", start);
        known.note(1, "v2", start);
        known.note(1, "v2", start);
        CPPUNIT_ASSERT(!known.find(1, start));
        CPPUNIT_ASSERT(known.all(start).empty());
    }

    // Guards against callers that use up the memory.
    void the_memory_is_bounded()
    {
        stream_versions known;
        for (stream_key i = 0; i <= max_known_streams; ++i)
        {
            known.note(i, "v1", start);
        }
        CPPUNIT_ASSERT(!known.find(0, start));
        CPPUNIT_ASSERT(known.all(start).at("v1").size() == max_known_streams);
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
        CPPUNIT_ASSERT(version_to_resume({{"", "v2"}, {"v1", ""}}) == "v1");
        CPPUNIT_ASSERT(version_to_resume({{"", ""}, {"", "v2"}}) == "v2");
        CPPUNIT_ASSERT(!version_to_resume({{"", ""}}));
        CPPUNIT_ASSERT(!version_to_resume({}));
    }

    // Guards against a lottery between routers that disagree.
    void contradicting_reports_prove_nothing()
    {
        CPPUNIT_ASSERT(!version_to_resume({{"v1", ""}, {"v2", ""}}));
        CPPUNIT_ASSERT(!version_to_resume({{"v1", "v1"}, {"v2", "v1"}}));
        CPPUNIT_ASSERT(!version_to_resume({{"", "v1"}, {"", "v2"}}));
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
