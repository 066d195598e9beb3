#ifndef CAPERPATH_STORE_ASYNC_PORT_HPP
#define CAPERPATH_STORE_ASYNC_PORT_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/error.hpp>
#include <caperpath/store/table.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

/// Asynchronous access to the store for a program with one event loop: no call
/// blocks, and each passes its result to a callback later, on the loop's
/// thread.
namespace caperpath::store
{

/// Returns the table that holds caperpath's rows of a kind, where the kind is
/// the text before the first "/" of their keys. Each kind has its own table so
/// that a router which follows one kind does not read all others. Thread safe.
inline std::string table_for_kind(std::string const& kind)
{
    return "caperpath-" + kind;
}

/// One row of a table, current or as it changed.
struct feed_row
{
    std::string key;
    std::string value; ///< empty when deleted
    bool deleted{false};
    std::uint64_t version{}; ///< of the row

    friend bool operator==(feed_row const&, feed_row const&) = default;
};

/// The cost of reading a response; for logs.
struct read_cost
{
    std::int64_t bytes{};
    duration time_to_first_byte{}; ///< from the call to the first byte of the
                                   ///< response
    duration total_time{};         ///< from the call to its last byte
    duration parse_time{};         ///< to turn the body into rows
    instant first_byte_at{};       ///< of the first call; 0 if it is not known

    friend bool operator==(read_cost const&, read_cost const&) = default;
};

/// The rows of a table up to `version`.
struct feed_page
{
    std::vector<feed_row> rows;
    std::uint64_t version{};
    read_cost cost{}; ///< of the last call that read the page

    friend bool operator==(feed_page const&, feed_page const&) = default;
};

template <class Value>
using result_callback = std::function<void(std::variant<Value, error>)>;

/// A call without a response within its timeout ends with `timeout`; a write is
/// then `unknown`. A struct of functions; use it on the loop's thread only.
struct async_port
{
    std::function<void(transaction const&, std::function<void(commit_result)>)>
        commit;

    /// Reads the row `key`; gives a row with version 0 if there is none.
    std::function<void(std::string const& key, result_callback<row>)> read;

    /// Reads all of caperpath's rows from key `first` up to, but not including,
    /// key `last`.
    /// @pre both keys name the same partition.
    std::function<void(std::string const& first, std::string const& last,
                       result_callback<std::vector<row>>)>
        scan;

    /// Reads all rows of a table that other programs write. For a table of
    /// caperpath's own it gives only the version to follow from, since its rows
    /// are spread over many partitions. Each response must begin within
    /// `answer_within`.
    std::function<void(std::string const& table, duration answer_within,
                       result_callback<feed_page>)>
        list;

    /// Reads the changes after `since`, as soon as there is one, or none after
    /// `wait`; the response must begin within `answer_within` after that. Fails
    /// with `not_found` if that part of the history no longer exists: call
    /// `list` again.
    std::function<void(std::string const& table, std::uint64_t since,
                       duration wait, duration answer_within,
                       result_callback<feed_page>)>
        follow;
};

} // namespace caperpath::store

#endif
