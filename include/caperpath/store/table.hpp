#ifndef CAPERPATH_STORE_TABLE_HPP
#define CAPERPATH_STORE_TABLE_HPP

#include <caperpath/base/error.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace caperpath::store
{

/// A row of the platform's table. `version` starts at 1 and grows by one with
/// each write; 0 means that the row does not exist. Immutable value.
struct row
{
    std::string key;
    std::uint64_t version{};
    std::string value; ///< JSON text

    friend bool operator==(row const&, row const&) = default;
};

/// Holds if the row `key` has exactly `version` (0: does not exist).
struct condition
{
    std::string key;
    std::uint64_t version{};

    friend bool operator==(condition const&, condition const&) = default;
};

/// Sets the row's value, or deletes the row if there is no value.
struct row_write
{
    std::string key;
    std::optional<std::string> value;

    friend bool operator==(row_write const&, row_write const&) = default;
};

/// All writes take effect together, and only if every condition holds.
struct transaction
{
    std::vector<condition> conditions;
    std::vector<row_write> writes;

    friend bool operator==(transaction const&, transaction const&) = default;
};

enum class commit_outcome
{
    applied,  ///< took effect
    rejected, ///< a condition failed, or the write was rejected; no effect
    unknown   ///< no response: it may or may not have taken effect
};

/// `failed` holds the current state of the rows whose condition did not hold;
/// it is empty if the platform rejected the write for another reason (its rate
/// limit, or an outage that it reports itself).
struct commit_result
{
    commit_outcome outcome{commit_outcome::unknown};
    std::vector<row> failed;
    error fault; ///< step and peer if not applied
    /// The new version of all written rows, from a store that numbers its
    /// transactions; 0 from a store that numbers the writes of each row.
    std::uint64_t version{};
    /// When the store applied the commit, on the store's own clock; 0 if the
    /// store does not report it.
    std::int64_t store_ms{};

    friend bool operator==(commit_result const&,
                           commit_result const&) = default;
};

/// Returns the new version of a row that had version `before` and was written
/// by an applied commit. Thread safe.
inline std::uint64_t written_version(commit_result const& applied,
                                     std::uint64_t before)
{
    return applied.version != 0 ? applied.version : before + 1;
}

/// A VM in the platform's list, which may lag by seconds. An absent VM has been
/// destroyed: the platform never omits a VM that could still run.
struct listed_vm
{
    std::string vm;
    std::string incarnation;
    std::string address; ///< "IP:port"
    std::string failure_domain;
    std::string state; ///< "live" or "leaving"

    friend bool operator==(listed_vm const&, listed_vm const&) = default;
};

/// The interface to everything that the platform stores for caperpath. A struct
/// of functions: `make_http_port` uses HTTP to the platform, `make_memory_port`
/// a table in memory. Each call blocks and may be made from any thread.
struct port
{
    /// Never throws, and never returns `rejected` if the write took effect.
    std::function<commit_result(transaction const&)> commit;

    /// Returns the rows that exist among `keys`, in no particular order. Counts
    /// as one read for any number of keys (at most 100).
    std::function<result<std::vector<row>>(std::vector<std::string> const&)>
        read;

    /// Returns rows whose key starts with `prefix` and is greater than `after`,
    /// in key order, at most `limit`.
    std::function<result<std::vector<row>>(
        std::string const& prefix, std::string const& after, std::size_t limit)>
        scan;

    /// Writes an object. Objects are written once and never changed; a retry is
    /// harmless.
    std::function<commit_result(std::string const& name,
                                std::string const& content)>
        put_object;
    std::function<result<std::string>(std::string const& name)> get_object;

    std::function<result<std::vector<listed_vm>>()> list_vms;
};

} // namespace caperpath::store

#endif
