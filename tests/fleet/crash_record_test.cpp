#include "fleet/crash_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace caperpath;
using namespace caperpath::fleet;

class crash_record_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(crash_record_test);
    CPPUNIT_TEST(evidence_grows_one_crash_after_the_other);
    CPPUNIT_TEST(crashes_of_one_moment_count_once);
    CPPUNIT_TEST(an_answer_outweighs_crashes_before_it);
    CPPUNIT_TEST(reports_in_any_order_say_the_same);
    CPPUNIT_TEST(the_record_is_bounded);
    CPPUNIT_TEST(what_is_not_confirmed_is_forgotten);
    CPPUNIT_TEST(fingerprints_tell_contents_apart);
    CPPUNIT_TEST(a_fatal_request_is_held_soon);
    CPPUNIT_TEST(a_lost_domain_holds_no_request);
    CPPUNIT_TEST(popular_requests_are_not_held);
    CPPUNIT_TEST_SUITE_END();

    static constexpr fingerprint one{1, 2};
    static constexpr instant start{1'000};

    void evidence_grows_one_crash_after_the_other()
    {
        crash_record record;
        crash_verdict const expected[] = {
            crash_verdict::suspected, crash_verdict::on_probation,
            crash_verdict::quarantined, crash_verdict::quarantined};
        CPPUNIT_ASSERT(judge(evidence_of(record, one)) == crash_verdict::clear);
        for (auto const verdict : expected)
        {
            auto const known = evidence_of(record, one);
            CPPUNIT_ASSERT(judge(note_crash(record, one, known, start)) ==
                           verdict);
        }
        CPPUNIT_ASSERT(quarantine_left(record, one, start) > duration{0});
    }

    // Guards against refusing a popular request because a failure domain lost
    // power.
    void crashes_of_one_moment_count_once()
    {
        crash_record record;
        for (int i = 0; i < 10; ++i)
        {
            note_crash(record, one, {}, start);
        }
        CPPUNIT_ASSERT(judge(evidence_of(record, one)) ==
                       crash_verdict::suspected);
    }

    void an_answer_outweighs_crashes_before_it()
    {
        crash_record record;
        auto const known = note_crash(record, one, {}, start);
        note_crash(record, one, known, start);
        CPPUNIT_ASSERT(note_answer(record, one, start));
        CPPUNIT_ASSERT(!note_answer(record, one, start));
        // A report that was on its way.
        note_crash(record, one, known, start);
        CPPUNIT_ASSERT(judge(evidence_of(record, one)) == crash_verdict::clear);
    }

    void reports_in_any_order_say_the_same()
    {
        crash_evidence const reports[] = {{0, 1}, {0, 3}, {1, 0}, {1, 2}};
        crash_record forward;
        crash_record backward;
        for (std::size_t i = 0; i < std::size(reports); ++i)
        {
            merge_evidence(forward, one, reports[i], start);
            merge_evidence(backward, one, reports[std::size(reports) - 1 - i],
                           start);
        }
        CPPUNIT_ASSERT(forward == backward);
    }

    // Guards against a memory that grows with each crash, and against losing
    // the worst in favour of the newest.
    void the_record_is_bounded()
    {
        crash_record record;
        merge_evidence(record, one, {0, crashes_to_quarantine}, start);
        for (std::uint64_t i = 0; i < 2 * most_crash_entries; ++i)
        {
            note_crash(record, {7, i}, {}, start + duration{1});
        }
        CPPUNIT_ASSERT_EQUAL(most_crash_entries, record.entries.size());
        CPPUNIT_ASSERT(judge(evidence_of(record, one)) ==
                       crash_verdict::quarantined);
    }

    void what_is_not_confirmed_is_forgotten()
    {
        crash_record record;
        note_crash(record, one, {}, start);
        merge_evidence(record, {3, 4}, {0, crashes_to_quarantine}, start);
        CPPUNIT_ASSERT(forget_old(record, start + duration{1}).empty());
        auto const gone = forget_old(record, start + suspicion_time);
        CPPUNIT_ASSERT(gone == std::vector<fingerprint>{one});
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1}, forget_old(record, start + quarantine_time).size());
        CPPUNIT_ASSERT(record.entries.empty());
    }

    // Guards against a caller who has the requests of another one refused.
    void fingerprints_tell_contents_apart()
    {
        request_content const base{"a", "POST", "host", "/path", "body"};
        auto const known = fingerprint_of(base);
        auto other = base;
        CPPUNIT_ASSERT(known == fingerprint_of(other));
        other.caller = "b";
        CPPUNIT_ASSERT(known != fingerprint_of(other));
        // The same bytes, divided in another way.
        CPPUNIT_ASSERT(fingerprint_of({"a", "GET", "h", "/pa", "th"}) !=
                       fingerprint_of({"a", "GET", "h", "/p", "ath"}));
        CPPUNIT_ASSERT(read_fingerprint(to_string(known)) == known);
        CPPUNIT_ASSERT(!read_fingerprint("12"));
        CPPUNIT_ASSERT(!read_fingerprint(std::string(32, 'x')));
    }

    static std::string told(crash_fleet_result const& of)
    {
        return "crashes " + std::to_string(of.fatal_crashes) + ", late sends " +
               std::to_string(of.late_fatal_sends) + ", requests " +
               std::to_string(of.requests) + ", refused " +
               std::to_string(of.refused) + ", failed " +
               std::to_string(of.failed) + ", held " + std::to_string(of.held);
    }

    // Guards against a request that comes to many routers and crashes servers
    // at each of them, also while the routers cannot tell each other.
    void a_fatal_request_is_held_soon()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed)
        {
            crash_fleet_shape shape;
            shape.seed = seed;
            shape.routers = seed % 2 == 0 ? 9 : 295;
            shape.servers = seed % 2 == 0 ? 12 : 400;
            shape.batch = std::size_t{1} << seed % 7;
            shape.attempts = 1 + static_cast<std::int64_t>(seed % 3);
            crash_fleet all{shape};
            auto const got = all.run();
            CPPUNIT_ASSERT_MESSAGE(told(got), got.late_fatal_sends <= 3);
            CPPUNIT_ASSERT_MESSAGE(told(got), got.fatal_crashes <= 12);
        }
    }

    void a_lost_domain_holds_no_request()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed)
        {
            crash_fleet_shape shape;
            shape.seed = seed;
            shape.fatal_per_s = 0;
            shape.popular = seed % 2 == 0 ? 3 : 0;
            crash_fleet all{shape};
            all.lose_domain_at(instant{10'000});
            auto const got = all.run();
            CPPUNIT_ASSERT_MESSAGE(told(got), got.refused == 0);
            CPPUNIT_ASSERT_MESSAGE(told(got), got.held == 0);
        }
    }

    // Guards against refusing requests that many callers send, because some of
    // them were at the crashes that another request caused.
    void popular_requests_are_not_held()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed)
        {
            crash_fleet_shape shape;
            shape.seed = seed;
            shape.popular = 1 + seed;
            crash_fleet all{shape};
            auto const got = all.run();
            CPPUNIT_ASSERT_MESSAGE(told(got), got.held == 0);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_record_test);
