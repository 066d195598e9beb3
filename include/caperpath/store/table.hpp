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

/// A row of the platform's table. `version` grows by one with each write and
/// starts at 1; 0 stands for a row that does not exist. Immutable value.
struct row
{
    std::string key;
    std::uint64_t version{};
    std::string value; ///< JSON text

    friend bool operator==(row const&, row const&) = default;
};

/// Holds when the row `key` has exactly `version` (0: does not exist).
struct condition
{
    std::string key;
    std::uint64_t version{};

    friend bool operator==(condition const&, condition const&) = default;
};

/// Sets the row's value, or deletes it when there is none.
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
    applied, ///< took effect
    refused, ///< a condition did not hold, or turned away; nothing took effect
    unknown  ///< no answer came back: it may or may not have taken effect
};

/// `failed` names the rows whose condition did not hold, as they are now; it is
/// empty when the platform turned the write away for another reason (its rate
/// limit, an outage that it reports itself).
struct commit_result
{
    commit_outcome outcome{commit_outcome::unknown};
    std::vector<row> failed;
    error fault; ///< step and peer when not applied
    /// The version that all written rows have now, from a store that numbers
    /// its transactions; 0 from one that numbers the writes of each row.
    std::uint64_t version{};
    /// When the store applied it, on the store's own clock; 0 if it does not
    /// say.
    std::int64_t store_ms{};

    friend bool operator==(commit_result const&,
                           commit_result const&) = default;
};

/// The version of a row that had `before` and was written by an applied commit.
/// Thread safe.
inline std::uint64_t written_version(commit_result const& applied,
                                     std::uint64_t before)
{
    return applied.version != 0 ? applied.version : before + 1;
}

/// A VM as the platform lists it; the list may lag by seconds. A VM that is
/// absent has been destroyed: the platform never lists one as gone that could
/// still run.
struct listed_vm
{
    std::string vm;
    std::string incarnation;
    std::string address; ///< "IP:port"
    std::string failure_domain;
    std::string state; ///< "live" or "leaving"

    friend bool operator==(listed_vm const&, listed_vm const&) = default;
};

/// The narrow interface to everything the platform keeps for us. A struct of
/// functions: one maker talks HTTP to the platform, tests make one over a map.
/// Each call blocks; each may be called from any thread.
struct port
{
    /// Never throws and never says `refused` when the write took effect.
    std::function<commit_result(transaction const&)> commit;

    /// The rows that exist among `keys`, in no given order. One read whatever
    /// the number of keys (at most 100).
    std::function<result<std::vector<row>>(std::vector<std::string> const&)>
        read;

    /// Rows whose key starts with `prefix` and is greater than `after`, in key
    /// order, at most `limit`.
    std::function<result<std::vector<row>>(
        std::string const& prefix, std::string const& after, std::size_t limit)>
        scan;

    /// Objects are written once and never changed; a repeat is harmless.
    std::function<commit_result(std::string const& name,
                                std::string const& content)>
        put_object;
    std::function<result<std::string>(std::string const& name)> get_object;

    std::function<result<std::vector<listed_vm>>()> list_vms;
};

} // namespace caperpath::store

#endif
