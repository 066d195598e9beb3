#include <caperpath/store/memory_table.hpp>

#include <utility>

namespace caperpath::store
{

namespace
{

using fault_source = std::function<injected_fault(std::string const&)>;

injected_fault fault_of(fault_source const& source, std::string const& step)
{
    return source ? source(step) : injected_fault::none;
}

error injected_error(injected_fault fault, std::string step)
{
    auto const kind = fault == injected_fault::outage ? error_kind::unavailable
                                                      : error_kind::timeout;
    return {kind, std::move(step), "memory table", "injected fault"};
}

template <class Write>
commit_result write_with(fault_source const& source, std::string const& step,
                         Write write)
{
    auto const fault = fault_of(source, step);
    switch (fault)
    {
    case injected_fault::outage:
        return {commit_outcome::rejected, {}, injected_error(fault, step)};
    case injected_fault::lost_call:
        return {commit_outcome::unknown, {}, injected_error(fault, step)};
    case injected_fault::lost_response:
        write();
        return {commit_outcome::unknown, {}, injected_error(fault, step)};
    case injected_fault::none:
        break;
    }
    return write();
}

template <class Read>
auto read_with(fault_source const& source, std::string const& step, Read read)
    -> result<decltype(read())>
{
    auto const fault = fault_of(source, step);
    if (fault != injected_fault::none)
    {
        return fail(injected_error(fault, step));
    }
    return read();
}

} // namespace

commit_result memory_table::commit(transaction const& txn)
{
    std::lock_guard const lock{this->mutex};
    commit_result outcome{commit_outcome::applied, {}, {}};
    for (auto const& wanted : txn.conditions)
    {
        auto const found = this->rows.find(wanted.key);
        auto const current =
            found == this->rows.end() ? row{wanted.key, 0, ""} : found->second;
        if (current.version != wanted.version)
        {
            outcome.failed.push_back(current);
        }
    }
    if (!outcome.failed.empty())
    {
        outcome.outcome = commit_outcome::rejected;
        outcome.fault = {error_kind::conflict, "commit", "table",
                         "condition on " + outcome.failed.front().key};
        return outcome;
    }
    for (auto const& write : txn.writes)
    {
        if (!write.value)
        {
            this->rows.erase(write.key);
            continue;
        }
        // Versions of a deleted key keep counting when the key is written
        // again, so that an old condition never matches a newer row.
        auto const version = ++this->last_versions[write.key];
        this->rows[write.key] = {write.key, version, *write.value};
    }
    return outcome;
}

std::vector<row> memory_table::read(std::vector<std::string> const& keys) const
{
    std::lock_guard const lock{this->mutex};
    std::vector<row> found;
    for (auto const& key : keys)
    {
        auto const position = this->rows.find(key);
        if (position != this->rows.end())
        {
            found.push_back(position->second);
        }
    }
    return found;
}

std::vector<row> memory_table::scan(std::string const& prefix,
                                    std::string const& after,
                                    std::size_t limit) const
{
    std::lock_guard const lock{this->mutex};
    std::vector<row> found;
    auto position = after < prefix ? this->rows.lower_bound(prefix)
                                   : this->rows.upper_bound(after);
    while (position != this->rows.end() && found.size() < limit &&
           position->first.starts_with(prefix))
    {
        found.push_back(position->second);
        ++position;
    }
    return found;
}

commit_result memory_table::put_object(std::string const& name,
                                       std::string const& content)
{
    std::lock_guard const lock{this->mutex};
    auto const [position, inserted] = this->objects.emplace(name, content);
    if (!inserted && position->second != content)
    {
        return {commit_outcome::rejected,
                {},
                {error_kind::conflict, "put object", "object store", name}};
    }
    return {commit_outcome::applied, {}, {}};
}

std::optional<std::string>
memory_table::get_object(std::string const& name) const
{
    std::lock_guard const lock{this->mutex};
    auto const position = this->objects.find(name);
    if (position == this->objects.end())
    {
        return std::nullopt;
    }
    return position->second;
}

void memory_table::set_vms(std::vector<listed_vm> vms)
{
    std::lock_guard const lock{this->mutex};
    this->vms = std::move(vms);
}

std::vector<listed_vm> memory_table::list_vms() const
{
    std::lock_guard const lock{this->mutex};
    return this->vms;
}

port make_memory_port(
    std::shared_ptr<memory_table> table,
    // it
    std::function<injected_fault(std::string const& step)> const& next_fault)
{
    port made;
    made.commit = [table, next_fault](transaction const& txn)
    {
        return write_with(next_fault, "commit",
                          [&] { return table->commit(txn); });
    };
    made.read = [table, next_fault](std::vector<std::string> const& keys)
    {
        return read_with(next_fault, "read", [&] { return table->read(keys); });
    };
    made.scan = [table, next_fault](std::string const& prefix,
                                    std::string const& after, std::size_t limit)
    {
        return read_with(next_fault, "scan",
                         [&] { return table->scan(prefix, after, limit); });
    };
    made.put_object =
        [table, next_fault](std::string const& name, std::string const& content)
    {
        return write_with(next_fault, "put object",
                          [&] { return table->put_object(name, content); });
    };
    made.get_object =
        [table, next_fault](std::string const& name) -> result<std::string>
    {
        auto found = read_with(next_fault, "get object",
                               [&] { return table->get_object(name); });
        if (!found)
        {
            return found.error();
        }
        if (!*found)
        {
            return fail(
                {error_kind::not_found, "get object", "object store", name});
        }
        return **found;
    };
    made.list_vms = [table, next_fault]
    {
        return read_with(next_fault, "list vms",
                         [&] { return table->list_vms(); });
    };
    return made;
}

} // namespace caperpath::store
