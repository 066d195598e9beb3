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

/// A store in memory with one transaction counter, for routers on `loop`. Loop
/// thread only.
class fake_store
{
public:
    explicit fake_store(boost::asio::io_context& loop);

    /// Takes over what another store holds, as the one store that outlives its
    /// routers. @pre nobody uses `before` any more.
    void take_contents(fake_store const& before);

    store::async_port port();

    /// Writes a row of a table that others write; no value deletes it.
    void put(std::string const& table, std::string const& key,
             std::optional<std::string> value);

    /// The value of one of the routers' rows; empty if there is none.
    std::string own(std::string const& key) const;

    /// How many of the routers' rows have a key that begins so.
    std::size_t own_rows(std::string const& begin) const;

    /// While false, no call is answered until it times out.
    bool reachable{true};

    /// Reads and scans of rows whose key begins so are not answered; empty: all
    /// are.
    std::string silent_for;

    /// So many of the next writes are refused: the store has too many.
    int refuses_writes{0};

    /// Applied, and the answer is lost, while true.
    bool loses_answers{false};

    std::int64_t now_ms{1'000};

private:
    struct change
    {
        std::uint64_t version{};
        std::string table;
        store::feed_row row;
    };
    struct waiting
    {
        std::string table;
        std::uint64_t since{};
        store::reply<store::feed_page> done;
    };

    store::commit_result commit(store::transaction const& txn);
    store::feed_page list(std::string const& table) const;
    store::feed_page changes(std::string const& table,
                             std::uint64_t since) const;
    void answer_waiting();
    void later(std::function<void()> call);

    boost::asio::io_context& loop;
    std::uint64_t version{1};
    std::map<std::string, store::row> rows;
    std::map<std::string, std::map<std::string, std::string>> tables;
    std::vector<change> history;
    std::vector<waiting> waiters;
};

} // namespace caperpath::gateway

#endif
