#include "router/platform_access.hpp"

namespace caperpath::router
{

namespace
{

error disconnected_error(char const* step)
{
    return {error_kind::unavailable, step, "table",
            "disconnected from the platform"};
}

} // namespace

store::port disconnectable(store::port const& inner,
                           std::atomic<bool> const& disconnected)
{
    auto outer = inner;
    outer.commit = [inner, &disconnected](store::transaction const& txn)
    {
        return disconnected.load()
                   ? store::commit_result{store::commit_outcome::unknown,
                                          {},
                                          disconnected_error("commit")}
                   : inner.commit(txn);
    };
    outer.put_object = [inner, &disconnected](std::string const& name,
                                              std::string const& content)
    {
        return disconnected.load()
                   ? store::commit_result{store::commit_outcome::unknown,
                                          {},
                                          disconnected_error("put object")}
                   : inner.put_object(name, content);
    };
    outer.read = [inner, &disconnected](std::vector<std::string> const& keys)
        -> result<std::vector<store::row>>
    {
        if (disconnected.load())
        {
            return fail(disconnected_error("read"));
        }
        return inner.read(keys);
    };
    outer.get_object =
        [inner, &disconnected](std::string const& name) -> result<std::string>
    {
        if (disconnected.load())
        {
            return fail(disconnected_error("get object"));
        }
        return inner.get_object(name);
    };
    return outer;
}

store::port counted(store::port const& inner, observe::metrics& metrics)
{
    auto counting = inner;
    counting.commit = [inner, &metrics](store::transaction const& txn)
    {
        auto outcome = inner.commit(txn);
        metrics.table_write(outcome.outcome);
        return outcome;
    };
    counting.read = [inner, &metrics](std::vector<std::string> const& keys)
    {
        auto rows = inner.read(keys);
        metrics.table_read(static_cast<bool>(rows));
        return rows;
    };
    return counting;
}

} // namespace caperpath::router
