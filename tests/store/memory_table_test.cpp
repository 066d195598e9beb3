#include <caperpath/store/memory_table.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace caperpath::store;

class memory_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(memory_table_test);
    CPPUNIT_TEST(a_write_with_lost_response_takes_effect);
    CPPUNIT_TEST(all_writes_or_none);
    CPPUNIT_TEST(a_deleted_row_does_not_reuse_its_version);
    CPPUNIT_TEST_SUITE_END();

    // The platform applies a write and the response is lost. The caller must
    // get "unknown"; after "refused" it would write a second time.
    void a_write_with_lost_response_takes_effect()
    {
        auto const table = std::make_shared<memory_table>();
        auto const lossy =
            make_memory_port(table, [](std::string const&)
                             { return injected_fault::lost_response; });
        auto const outcome = lossy.commit({{{"a", 0}}, {{"a", "1"}}});
        CPPUNIT_ASSERT(outcome.outcome == commit_outcome::unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table->read({"a"}).size());
    }

    void all_writes_or_none()
    {
        memory_table table;
        table.commit({{}, {{"a", "1"}}});
        auto const outcome =
            table.commit({{{"a", 1}, {"b", 7}}, {{"a", "2"}, {"b", "2"}}});
        CPPUNIT_ASSERT(outcome.outcome == commit_outcome::rejected);
        CPPUNIT_ASSERT_EQUAL(std::string{"b"}, outcome.failed.at(0).key);
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, table.read({"a"}).at(0).value);
    }

    void a_deleted_row_does_not_reuse_its_version()
    {
        memory_table table;
        table.commit({{}, {{"a", "1"}}});
        table.commit({{}, {{"a", std::nullopt}}});
        table.commit({{}, {{"a", "2"}}});
        CPPUNIT_ASSERT(table.commit({{{"a", 1}}, {{"a", "3"}}}).outcome ==
                       commit_outcome::rejected);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(memory_table_test);
