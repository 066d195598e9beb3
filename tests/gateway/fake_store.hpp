#ifndef CAPERPATH_TESTS_GATEWAY_FAKE_STORE_HPP
#define CAPERPATH_TESTS_GATEWAY_FAKE_STORE_HPP

#include <caperpath/store/async_port.hpp>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace caperpath::gateway
{

/// An in-memory store with one transaction counter, for routers on `loop`. Loop
/// thread only.
class fake_store
{
public:
    explicit fake_store(boost::asio::io_context& loop);

    /// Copies the contents of `other`, for a store that outlives its routers.
    /// @pre no router uses `other` any more.
    void copy_contents(fake_store const& other);

    store::async_port port();

    /// Writes a row of a table that routers only read; no value deletes the
    /// row.
    void put(std::string const& table, std::string const& key,
             std::optional<std::string> value);

    /// Returns the value of a row that routers write; empty if there is none.
    std::string router_row(std::string const& key) const;

    /// Returns the values of the rows that routers write whose key begins with
    /// `prefix`, by key.
    std::map<std::string, std::string>
    router_rows(std::string const& prefix) const;

    /// Returns the number of rows that routers write whose key begins with
    /// `prefix`.
    std::size_t count_router_rows(std::string const& prefix) const;

    /// While false, all calls time out.
    bool reachable{true};

    /// Reads and scans of rows whose key begins with this prefix fail; empty:
    /// none do.
    std::string silent_prefix;

    /// How many of the next writes are rejected, as by an overloaded store.
    int writes_to_reject{0};

    /// Writes of rows whose key begins with this prefix are rejected; empty:
    /// none are.
    std::string rejected_prefix;

    /// While true, commits are applied and their responses are lost.
    bool loses_responses{false};

    /// Called at the begin of each call if it is set; may throw.
    std::function<void()> before_call;

    std::int64_t now_ms{1'000};

private:
    struct change
    {
        std::uint64_t version{};
        std::string table;
        store::feed_row row;
    };
    struct pending_follow
    {
        std::string table;
        std::uint64_t since{};
        store::result_callback<store::feed_page> done;
    };

    store::commit_result commit(store::transaction const& txn);
    store::feed_page list(std::string const& table) const;
    store::feed_page changes(std::string const& table,
                             std::uint64_t since) const;
    void reply_to_follows();
    void post_reply(std::function<void()> reply);
    void begin_call() const;

    boost::asio::io_context& loop;
    std::uint64_t version{1};
    std::map<std::string, store::row> rows;
    std::map<std::string, std::map<std::string, std::string>> tables;
    std::vector<change> history;
    std::vector<pending_follow> pending_follows;
};

} // namespace caperpath::gateway

#endif
