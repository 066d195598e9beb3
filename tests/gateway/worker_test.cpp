#include "gateway/worker.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <future>
#include <string>

using namespace caperpath;
using namespace caperpath::gateway;

class worker_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(worker_test);
    CPPUNIT_TEST(rows_do_not_wait_for_a_configuration);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::chrono::seconds bound{10};

    // Guards against servers that become known only once a large configuration
    // is built.
    void rows_do_not_wait_for_a_configuration()
    {
        boost::asio::io_context loop;
        auto const open = boost::asio::make_work_guard(loop);
        worker background{loop.get_executor()};
        std::promise<void> rows_done;
        auto const released = rows_done.get_future().share();
        std::string order;
        auto const note = [&order](std::variant<std::string, error> result)
        {
            order += std::get<std::string>(result);
        };
        background.run<std::string>(
            worker_lane::configuration, "build",
            [released]
            {
                return std::string{released.wait_for(bound) ==
                                           std::future_status::ready
                                       ? "built "
                                       : "built too early "};
            },
            note);
        background.run<std::string>(
            worker_lane::configuration, "build",
            [] { return std::string{"next "}; }, note);
        background.run<std::string>(
            worker_lane::rows, "parse", [] { return std::string{"rows "}; },
            [&](std::variant<std::string, error> const& result)
            {
                note(result);
                rows_done.set_value();
            });
        for (int results = 0; results < 3; ++results)
        {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, loop.run_one_for(2 * bound));
        }
        CPPUNIT_ASSERT_EQUAL(std::string{"rows built next "}, order);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_test);
