#ifndef CAPERPATH_STORE_MEMORY_TABLE_HPP
#define CAPERPATH_STORE_MEMORY_TABLE_HPP

#include <caperpath/store/table.hpp>

#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace caperpath::store
{

/// The fault injected into one call to a `memory_table`.
enum class injected_fault
{
    none,
    outage,       ///< no effect; the call fails
    lost_call,    ///< no effect; the caller gets no response
    lost_response ///< takes effect; the caller gets no response
};

/// A table, object store and VM list held in memory. The platform emulator
/// serves one over HTTP, and tests use one directly. Thread safe.
class memory_table
{
public:
    commit_result commit(transaction const& txn);
    std::vector<row> read(std::vector<std::string> const& keys) const;
    std::vector<row> scan(std::string const& prefix, std::string const& after,
                          std::size_t limit) const;
    /// Rejected if the object exists with different content.
    commit_result put_object(std::string const& name,
                             std::string const& content);
    std::optional<std::string> get_object(std::string const& name) const;
    void set_vms(std::vector<listed_vm> vms);
    std::vector<listed_vm> list_vms() const;

private:
    mutable std::mutex mutex;
    std::map<std::string, row> rows;
    std::map<std::string, std::uint64_t> last_versions;
    std::map<std::string, std::string> objects;
    std::vector<listed_vm> vms;
};

/// Returns a port over `table`. `next_fault`, if given, is called before each
/// call and selects the fault to inject. @pre `table` is not null.
port make_memory_port(
    std::shared_ptr<memory_table> table,
    std::function<injected_fault(std::string const& step)> const& next_fault =
        {});

} // namespace caperpath::store

#endif
