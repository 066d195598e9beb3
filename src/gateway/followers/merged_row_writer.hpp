#ifndef CAPERPATH_SRC_GATEWAY_FOLLOWERS_MERGED_ROW_WRITER_HPP
#define CAPERPATH_SRC_GATEWAY_FOLLOWERS_MERGED_ROW_WRITER_HPP

#include "gateway/decision_log.hpp"

#include <caperpath/base/clock.hpp>
#include <caperpath/store/async_port.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace caperpath::gateway
{

/// Where a `merged_row_writer` gets the values of rows from.
struct merged_rows
{
    /// The value that the row should have; empty if it need not be written.
    std::function<std::optional<std::string>(std::string const& key)> value;

    /// Another router wrote the row first; `value` returns the merged value
    /// from then on.
    std::function<void(store::row const& row)> merge;

    /// Called soon after rows were scheduled, with their values by key. Writes
    /// may wait for a slow store.
    std::function<void(std::map<std::string, std::string> const& values)>
        announce;
};

/// Writes rows to which several routers contribute. A row that another router
/// changed in the meantime is merged and written again if this router still
/// knows more. Rows stay queued while the store is unreachable. Loop thread
/// only; must outlive its calls, and `log` must outlive it.
class merged_row_writer
{
public:
    /// `salt` differs between routers.
    merged_row_writer(boost::asio::any_io_executor const& executor,
                      store::async_port port, std::size_t salt,
                      merged_rows rows, decision_log& log);

    /// Writes the row soon, together with others that are scheduled then.
    void schedule(std::string const& key);

    /// Records that the store holds the row, or no longer does.
    void note_row(store::row const& row);
    void note_removed(std::string const& key);

    /// The keys of the rows that the store holds, as far as is known.
    std::vector<std::string> stored_keys() const;

    /// True if the store holds the row or it is scheduled.
    bool contains(std::string const& key) const;

    /// Removes rows for which `keep` returns false.
    void remove_rows(std::function<bool(std::string const& key)> const& keep);

private:
    void announce();
    using values = std::map<std::string, std::string>;

    struct stored_row
    {
        std::uint64_t version{};
        std::uint64_t value_hash{};
    };

    std::optional<std::string> value_of(std::string const& key) const;
    void merge(store::row const& row);
    void write_after(duration pause);
    void write();
    void handle_result(values const& sent, store::commit_result const& result);

    boost::asio::steady_timer timer;
    boost::asio::steady_timer announce_timer;
    std::set<std::string> unannounced;
    store::async_port port;
    std::size_t salt;
    merged_rows rows;
    decision_log& log;
    std::map<std::string, stored_row> stored;
    std::set<std::string> unwritten;
    bool writing{false};
    int failures{}; ///< consecutive writes that were not applied
};

} // namespace caperpath::gateway

#endif
