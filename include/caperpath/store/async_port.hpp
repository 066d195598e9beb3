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

/// The store as a program on one event loop uses it: no call blocks, and each
/// gives its result to a callback, later and on the loop's thread.
namespace caperpath::store
{

/// The table in which our rows of a kind stand; the kind is the text before the
/// first "/" of their keys. Apart, so that a router which follows one kind does
/// not read all others. Thread safe.
inline std::string own_table(std::string const& kind)
{
    return "caperpath-" + kind;
}

/// One row of a table as it is now or as it changed.
struct feed_row
{
    std::string key;
    std::string value; ///< empty when deleted
    bool deleted{false};
    std::uint64_t version{}; ///< of the row

    friend bool operator==(feed_row const&, feed_row const&) = default;
};

/// What it took to read an answer; for logs.
struct read_cost
{
    std::int64_t bytes{};
    duration answered{}; ///< from the call to the first byte of the answer
    duration took{};     ///< from the call to its last byte

    friend bool operator==(read_cost const&, read_cost const&) = default;
};

/// Rows of a table up to `version`.
struct feed_page
{
    std::vector<feed_row> rows;
    std::uint64_t version{};
    read_cost cost{}; ///< of the last call that it was read in

    friend bool operator==(feed_page const&, feed_page const&) = default;
};

template <class Value>
using reply = std::function<void(std::variant<Value, error>)>;

/// Calls that no answer came to in time end with `timeout`; a write then is
/// `unknown`. A struct of functions; to be used on the loop's thread only.
struct async_port
{
    std::function<void(transaction const&, std::function<void(commit_result)>)>
        commit;

    /// The row `key`, or one with version 0 if there is none.
    std::function<void(std::string const& key, reply<row>)> read;

    /// Our rows from key `first` to before key `last`, however many.
    /// @pre both keys name the same partition.
    std::function<void(std::string const& first, std::string const& last,
                       reply<std::vector<row>>)>
        scan;

    /// All rows of a table that others write; of an own table only the version
    /// to follow from, since its rows stand in many partitions. Each answer
    /// must begin within `answer_within`.
    std::function<void(std::string const& table, duration answer_within,
                       reply<feed_page>)>
        list;

    /// The changes after `since`, as soon as there is one or after `wait`
    /// without any; the answer must begin `answer_within` after that. Error
    /// `not_found` when that part of the history is gone: list anew.
    std::function<void(std::string const& table, std::uint64_t since,
                       duration wait, duration answer_within, reply<feed_page>)>
        follow;
};

} // namespace caperpath::store

#endif
