#include "fleet/resume_plays.hpp"

#include <caperpath/fleet/stream_record.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

using namespace caperpath;
using namespace caperpath::fleet;

/// Simulated fleets whose routers are all killed while versions change.
class resume_fleet_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(resume_fleet_test);
    CPPUNIT_TEST(most_streams_go_on_and_none_at_another_version);
    CPPUNIT_TEST(no_way_resumes_at_another_version);
    CPPUNIT_TEST(lost_rows_cost_resumptions_only);
    CPPUNIT_TEST(a_stream_that_went_on_is_in_the_lists_of_both_servers);
    CPPUNIT_TEST(a_server_that_changed_its_version_leaves_no_record);
    CPPUNIT_TEST(an_attempt_that_did_not_run_frees_the_version);
    CPPUNIT_TEST(a_written_record_fixes_the_version);
    CPPUNIT_TEST(conflicting_records_are_not_written);
    CPPUNIT_TEST(a_version_leaves_the_row_after_a_stream_lifetime);
    CPPUNIT_TEST(the_row_is_bounded);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int whole = 100;
    static constexpr server_key server{7};

    // Guards against resumptions that are rejected for want of a record, and
    // against those that go on at another version.
    void most_streams_go_on_and_none_at_another_version()
    {
        for (auto const routers : {2, 8, 300})
        {
            for (auto const& rollout : rollouts())
            {
                auto const rows = play_all(routers, rollout, resume_way::rows);
                auto const hash = play_all(routers, rollout, resume_way::hash);
                std::cout << routers << " routers, " << rows.streams
                          << " streams: rows " << rows.resumed << ", hash "
                          << hash.resumed << " of " << hash.streams << "\n";
                CPPUNIT_ASSERT(rows.streams > 0);
                CPPUNIT_ASSERT_EQUAL(0, rows.at_another_version);
                CPPUNIT_ASSERT(whole * rows.resumed >= 90 * rows.streams);
            }
        }
    }

    // Guards against wrong versions in the ways that were compared.
    void no_way_resumes_at_another_version()
    {
        for (auto const& rollout : rollouts())
        {
            for (auto const way :
                 {resume_way::memory, resume_way::hash, resume_way::rows})
            {
                CPPUNIT_ASSERT_EQUAL(
                    0, play_all(8, rollout, way).at_another_version);
            }
        }
    }

    // Guards against records that are taken for written when the store lost
    // them.
    void lost_rows_cost_resumptions_only()
    {
        for (auto const& rollout : rollouts())
        {
            auto const lossy = play_all(8, rollout, resume_way::rows, 50);
            CPPUNIT_ASSERT_EQUAL(0, lossy.at_another_version);
            auto away = scenario_of(8, rollout, 1);
            away.store_away = instant{36'000};
            CPPUNIT_ASSERT_EQUAL(
                0, play(away, resume_way::rows).at_another_version);
        }
    }

    // Guards against a row that forgets where a stream was before it went on.
    void a_stream_that_went_on_is_in_the_lists_of_both_servers()
    {
        stream_records records;
        records.begin(1, {"v1", server}, instant{1'000});
        static_cast<void>(records.take_row(instant{0}));
        records.begin(1, {"v1", server + 1}, instant{1'000});
        CPPUNIT_ASSERT(records.has_changed());
        streams_by_source const both{{{"v1", server}, {1}},
                                     {{"v1", server + 1}, {1}}};
        CPPUNIT_ASSERT(records.take_row(instant{0}) == both);
        stream_records next;
        next.inherit(both, instant{0});
        CPPUNIT_ASSERT(next.take_row(instant{0}) == both);
    }

    // Guards against a router that starts after the server has left, and cannot
    // know that it changed.
    void a_server_that_changed_its_version_leaves_no_record()
    {
        server_entry entry;
        entry.id = {"i-1"};
        entry.version = "v1";
        auto const one = server_key_of(entry.id);
        stream_records records;
        records.begin(1, {"v1", one}, instant{1'000});
        records.inherit({{{"v1", one}, {2}}, {{"v1", server}, {3}}},
                        instant{0});
        auto history = note_version({}, entry, instant{0});
        records.invalidate_uncertain(history, instant{0});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             records.take_row(instant{0}).size());
        entry.version = "v2";
        history = note_version(std::move(history), entry, instant{0});
        records.invalidate_uncertain(history, instant{0});
        CPPUNIT_ASSERT(records.has_changed());
        CPPUNIT_ASSERT(records.take_row(instant{0}) ==
                       (streams_by_source{{{"v1", server}, {3}}}));
    }

    // Guards against a request that is tied to the version of a server that
    // rejected it.
    void an_attempt_that_did_not_run_frees_the_version()
    {
        stream_records records;
        records.begin(1, {"v1", server}, instant{1'000});
        CPPUNIT_ASSERT(records.retract(1));
        records.begin(1, {"v2", server}, instant{1'000});
        auto const row = records.take_row(instant{0});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, row.size());
        CPPUNIT_ASSERT(row.contains({"v2", server}));
    }

    // Guards against a stream that begins at one version while the store says
    // another.
    void a_written_record_fixes_the_version()
    {
        stream_records records;
        records.begin(1, {"v1", server}, instant{1'000});
        static_cast<void>(records.take_row(instant{0}));
        CPPUNIT_ASSERT(!records.retract(1));
        CPPUNIT_ASSERT(records.written_version(1) ==
                       std::optional{std::string{"v1"}});
    }

    void conflicting_records_are_not_written()
    {
        stream_records records;
        records.begin(1, {"v1", server}, instant{1'000});
        static_cast<void>(records.take_row(instant{0}));
        records.begin(1, {"v2", server}, instant{1'000});
        CPPUNIT_ASSERT(records.has_changed());
        CPPUNIT_ASSERT(records.take_row(instant{0}).empty());
        records.begin(2, {"v1", server}, instant{1'000});
        records.invalidate(2, instant{1'000});
        CPPUNIT_ASSERT(records.take_row(instant{0}).empty());
        records.begin(2, {"v1", server}, instant{1'000});
        CPPUNIT_ASSERT(records.take_row(instant{0}).empty());
    }

    // Guards against a version that is forgotten while its streams are open,
    // and against one that is kept for ever.
    void a_version_leaves_the_row_after_a_stream_lifetime()
    {
        service_id const service{"s"};
        version_set const row{{"v1", "v2"}, 7};
        server_entry entry;
        entry.id = {"i-1"};
        entry.service = service;
        entry.version = "v2";
        server_table table;
        list_server(table, entry, instant{0});
        version_history history;
        auto const at = [&](instant now)
        {
            history = note_versions(std::move(history), table, now);
            return removable_versions(row, history, service, now);
        };
        CPPUNIT_ASSERT(at(instant{0}).empty());
        CPPUNIT_ASSERT(at(instant{0} + stream_lifetime - duration{1}).empty());
        CPPUNIT_ASSERT(at(instant{0} + stream_lifetime) ==
                       std::set<std::string>{"v1"});
        note_store(table, false, instant{0} + stream_lifetime);
        CPPUNIT_ASSERT(at(instant{0} + stream_lifetime).empty());
    }

    void the_row_is_bounded()
    {
        stream_records records;
        for (stream_key key = 1; key <= max_row_streams + 10; ++key)
        {
            records.begin(key, {"v1", server},
                          instant{static_cast<std::int64_t>(key)});
        }
        auto const row = records.take_row(instant{0});
        CPPUNIT_ASSERT_EQUAL(max_row_streams, row.at({"v1", server}).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(resume_fleet_test);
