#ifndef CAPERPATH_STORE_MEMORY_TABLE_HPP
#define CAPERPATH_STORE_MEMORY_TABLE_HPP

#include <caperpath/store/table.hpp>

#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace caperpath::store
{

/// What goes wrong with one call to a `memory_table`.
enum class injected_fault
{
    none,
    outage,     ///< nothing takes effect, the caller learns that it failed
    lost_call,  ///< nothing takes effect, the caller learns nothing
    lost_answer ///< takes effect, the caller learns nothing
};

/// A table, object store and VM list held in memory: the platform's stand-in
/// serves one over HTTP, and tests drive one directly. Thread safe.
class memory_table
{
public:
    commit_result commit(transaction const& txn);
    std::vector<row> read(std::vector<std::string> const& keys) const;
    std::vector<row> scan(std::string const& prefix, std::string const& after,
                          std::size_t limit) const;
    /// Refused when the object exists with another content.
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

/// A port over `table`. `next_fault`, when given, is asked before each call
/// and decides what goes wrong with it. @pre `table` is not null.
port make_memory_port(
    std::shared_ptr<memory_table> table,
    std::function<injected_fault(std::string const& step)> const& next_fault =
        {});

} // namespace caperpath::store

#endif
