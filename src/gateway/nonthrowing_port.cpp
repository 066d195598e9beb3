#include "gateway/nonthrowing_port.hpp"

#include <boost/asio/post.hpp>

#include <exception>
#include <memory>
#include <string>
#include <utility>

namespace caperpath::gateway
{

namespace
{

/// The error of a call that threw. @pre called in a handler of its exception.
error current_fault(std::string const& step)
{
    error fault{error_kind::internal, step, "store", "unknown exception"};
    try
    {
        throw;
    }
    catch (std::exception const& thrown)
    {
        fault.detail = thrown.what();
    }
    catch (...) // NOLINT(bugprone-empty-catch): `detail` says so
    {
    }
    return fault;
}

store::commit_result failure_of(error fault, store::commit_result const*)
{
    return {store::commit_outcome::unknown, {}, std::move(fault)};
}

template <class Value>
std::variant<Value, error> failure_of(error fault,
                                      std::variant<Value, error> const*)
{
    return fault;
}

/// Passes a callback to `call` that calls `done` at most once.
template <class Result, class Call>
void make_call(boost::asio::any_io_executor const& executor,
               std::string const& step, std::function<void(Result)> done,
               Call const& call)
{
    auto const pending =
        std::make_shared<std::function<void(Result)>>(std::move(done));
    auto const finish = [pending](Result result)
    {
        if (auto const handler = std::exchange(*pending, nullptr))
        {
            handler(std::move(result));
        }
    };
    try
    {
        call(finish);
    }
    catch (...)
    {
        if (!*pending)
        {
            throw; // by the callback, which was called at once
        }
        Result const* const none{nullptr};
        boost::asio::post(
            executor, [finish, failed = failure_of(current_fault(step), none)]
            { finish(failed); });
    }
}

} // namespace

store::async_port
make_nonthrowing_port(store::async_port port,
                      boost::asio::any_io_executor const& executor)
{
    using store::feed_page;
    using store::row;
    auto const calls = std::make_shared<store::async_port>(std::move(port));
    store::async_port safe;
    safe.commit =
        [calls, executor](store::transaction const& txn,
                          std::function<void(store::commit_result)> done)
    {
        make_call(executor, "commit", std::move(done),
                  [&](auto const& finish) { calls->commit(txn, finish); });
    };
    safe.read = [calls, executor](std::string const& key,
                                  store::result_callback<row> done)
    {
        make_call(executor, "read row", std::move(done),
                  [&](auto const& finish) { calls->read(key, finish); });
    };
    safe.scan = [calls, executor](std::string const& first,
                                  std::string const& last,
                                  store::result_callback<std::vector<row>> done)
    {
        make_call(executor, "scan rows", std::move(done),
                  [&](auto const& finish)
                  { calls->scan(first, last, finish); });
    };
    safe.list = [calls, executor](std::string const& table,
                                  duration answer_within,
                                  store::result_callback<feed_page> done)
    {
        make_call(executor, "list " + table, std::move(done),
                  [&](auto const& finish)
                  { calls->list(table, answer_within, finish); });
    };
    safe.follow = [calls, executor](std::string const& table,
                                    std::uint64_t since, duration wait,
                                    duration answer_within,
                                    store::result_callback<feed_page> done)
    {
        make_call(executor, "follow " + table, std::move(done),
                  [&](auto const& finish) {
                      calls->follow(table, since, wait, answer_within, finish);
                  });
    };
    return safe;
}

} // namespace caperpath::gateway
