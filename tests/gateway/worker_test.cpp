#include "gateway/worker.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <new>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

using namespace caperpath;
using namespace caperpath::gateway;

namespace
{

/// The executor of a loop that has no memory for the first posts.
struct scarce_executor
{
    boost::asio::execution_context&
    query(boost::asio::execution::context_t) const noexcept
    {
        return this->inner.context();
    }

    static constexpr boost::asio::execution::blocking_t
    query(boost::asio::execution::blocking_t) noexcept
    {
        return boost::asio::execution::blocking.never;
    }

    scarce_executor
    require(boost::asio::execution::blocking_t::never_t) const noexcept
    {
        return *this;
    }

    template <class Function>
    void execute(Function&& run) const
    {
        if (this->failures->fetch_sub(1) > 0)
        {
            throw std::bad_alloc{};
        }
        boost::asio::post(this->inner, std::forward<Function>(run));
    }

    friend bool operator==(scarce_executor const& a,
                           scarce_executor const& b) noexcept
    {
        return a.inner == b.inner;
    }

    friend bool operator!=(scarce_executor const& a,
                           scarce_executor const& b) noexcept
    {
        return !(a == b);
    }

    boost::asio::io_context::executor_type inner;
    std::shared_ptr<std::atomic<int>> failures;
};

} // namespace

class worker_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(worker_test);
    CPPUNIT_TEST(rows_do_not_wait_for_a_configuration);
    CPPUNIT_TEST(a_result_that_cannot_be_delivered_at_once_is_delivered_later);
    CPPUNIT_TEST(a_job_that_throws_ends_with_an_error);
    CPPUNIT_TEST(a_handler_that_throws_keeps_no_other_result_back);
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

    // Guards against the end of the process, with all that is open, for lack of
    // memory in the worker's thread.
    void a_result_that_cannot_be_delivered_at_once_is_delivered_later()
    {
        boost::asio::io_context loop;
        auto const open = boost::asio::make_work_guard(loop);
        auto const failures = std::make_shared<std::atomic<int>>(3);
        worker background{scarce_executor{loop.get_executor(), failures}};
        std::string got;
        background.run<std::string>(
            worker_lane::rows, "parse", [] { return std::string{"rows"}; },
            [&](std::variant<std::string, error> result)
            { got = std::get<std::string>(std::move(result)); });
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, loop.run_one_for(bound));
        CPPUNIT_ASSERT_EQUAL(std::string{"rows"}, got);
        CPPUNIT_ASSERT(*failures < 0);
    }

    // Guards against a wait for a result that never comes.
    void a_job_that_throws_ends_with_an_error()
    {
        boost::asio::io_context loop;
        auto const open = boost::asio::make_work_guard(loop);
        worker background{loop.get_executor()};
        std::vector<std::string> details;
        auto const note = [&](std::variant<std::string, error> const& result)
        {
            details.push_back(std::get<error>(result).detail);
        };
        background.run<std::string>(
            worker_lane::rows, "parse",
            []() -> std::string { throw std::runtime_error{"a text"}; }, note);
        background.run<std::string>(
            worker_lane::rows, "parse", []() -> std::string { throw 1; }, note);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, loop.run_one_for(bound));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, loop.run_one_for(bound));
        CPPUNIT_ASSERT_EQUAL(std::string{"a text"}, details.at(0));
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown exception"}, details.at(1));
    }

    // Guards against tables that are no longer read after one result.
    void a_handler_that_throws_keeps_no_other_result_back()
    {
        boost::asio::io_context loop;
        auto const open = boost::asio::make_work_guard(loop);
        worker background{loop.get_executor()};
        auto results = 0;
        for (int i = 0; i < 2; ++i)
        {
            background.run<int>(
                worker_lane::rows, "parse", [i] { return i; },
                [&](std::variant<int, error> const& result)
                {
                    results += 1;
                    if (std::get<int>(result) == 0)
                    {
                        throw std::runtime_error{"a result"};
                    }
                });
        }
        CPPUNIT_ASSERT_THROW(loop.run_one_for(bound), std::runtime_error);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, loop.run_one_for(bound));
        CPPUNIT_ASSERT_EQUAL(2, results);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_test);
