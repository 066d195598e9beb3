#include "router/platform_access.hpp"

namespace caperpath::router
{

namespace
{

error cut_off_error(char const* step)
{
    return {error_kind::unavailable, step, "table", "cut off"};
}

} // namespace

store::port severable(store::port const& inner, std::atomic<bool> const& cut)
{
    auto outer = inner;
    outer.commit = [inner, &cut](store::transaction const& txn)
    {
        return cut.load() ? store::commit_result{store::commit_outcome::unknown,
                                                 {},
                                                 cut_off_error("commit")}
                          : inner.commit(txn);
    };
    outer.put_object =
        [inner, &cut](std::string const& name, std::string const& content)
    {
        return cut.load() ? store::commit_result{store::commit_outcome::unknown,
                                                 {},
                                                 cut_off_error("put object")}
                          : inner.put_object(name, content);
    };
    outer.read = [inner, &cut](std::vector<std::string> const& keys)
        -> result<std::vector<store::row>>
    {
        if (cut.load())
        {
            return fail(cut_off_error("read"));
        }
        return inner.read(keys);
    };
    outer.get_object = [inner,
                        &cut](std::string const& name) -> result<std::string>
    {
        if (cut.load())
        {
            return fail(cut_off_error("get object"));
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
