#ifndef CAPERPATH_SRC_GATEWAY_REQUESTS_STREAM_ROWS_HPP
#define CAPERPATH_SRC_GATEWAY_REQUESTS_STREAM_ROWS_HPP

#include "gateway/decision_log.hpp"

#include <caperpath/base/clock.hpp>
#include <caperpath/fleet/server_table.hpp>
#include <caperpath/fleet/stream_record.hpp>
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

/// What `stream_rows` reports.
struct stream_row_handlers
{
    /// Records of streams were read.
    std::function<void(fleet::streams_by_source const&)> on_streams;

    /// The service has several versions from now on.
    std::function<void(service_id const&)> on_several;
};

/// The rows that say at which software version streams began, which survive
/// the loss of all routers.
///
/// Each service has a row with the versions that its open streams may have. A
/// router sends a resumable stream to a version only once the row has it. While
/// the row has several, each router writes its open streams to a row of its
/// own. So a router that has just started knows the version of a stream from a
/// record, or from the fact that there is only one.
///
/// Loop thread only; must outlive its calls, and `log` must outlive it.
class stream_rows
{
public:
    stream_rows(boost::asio::any_io_executor const& executor,
                store::async_port port, std::string vm,
                std::int64_t writes_per_s, decision_log& log,
                stream_row_handlers handlers);

    /// Reads all rows; call once.
    void start();

    /// Sets `server::version_confirmed`, adds versions to the rows of their
    /// services, and removes records that are not certain any more. Call it
    /// after each change of the list, and regularly. @pre `servers` outlives
    /// this object.
    void note_servers(fleet::server_table& servers,
                      fleet::version_history const& history);

    void set_router_count(std::int64_t routers);

    /// True if all rows were read once.
    bool has_read() const;

    /// True if records of the service's streams are needed.
    bool has_several(service_id const& service) const;

    /// The only version that open streams of the service may have, as of the
    /// latest read; empty if there are several or none.
    std::optional<std::string> only_version(service_id const& service) const;

    /// The records of this router's streams.
    fleet::stream_records& records();

    /// Writes the own row soon if it has changed.
    void write_soon();

    /// Reads all rows by calls that begin from now on; `done` gets whether all
    /// of them succeeded.
    void read(std::function<void(bool)> done);

private:
    struct reading
    {
        std::size_t missing{};
        bool failed{false};
        std::vector<std::function<void(bool)>> waiting;
    };

    duration interval() const;
    void begin_read();
    void end_part(bool failed);
    void take_streams(std::vector<store::row> const& rows);
    void take_versions(std::vector<store::row> const& rows);
    void take_version_row(store::row const& row);
    void scan(std::string const& first, std::string const& last,
              std::function<void(std::vector<store::row> const&)> take);
    void confirm(fleet::server_table& servers);
    void change_versions(service_id const& service,
                         std::set<std::string> const& added,
                         std::set<std::string> const& removed);
    void handle_commit(service_id const& service, std::string const& value,
                       std::uint64_t before,
                       store::commit_result const& result);
    void write();

    boost::asio::steady_timer write_timer;
    boost::asio::steady_timer read_timer;
    boost::asio::steady_timer retry_timer; ///< of the first read
    store::async_port port;
    std::string vm;
    std::int64_t writes_per_s; ///< that the store takes from all routers
    decision_log& log;
    stream_row_handlers handlers;
    fleet::stream_records own;
    std::map<service_id, fleet::version_set> sets;
    /// When this router last saw each version in a row, or in a list that was
    /// up to date, without a long interruption since it was in the row.
    std::map<service_id, std::map<std::string, instant>> confirmed;
    std::set<service_id> committing;
    std::map<service_id, instant> retry_at;
    std::map<std::string, std::uint64_t> seen_rows; ///< versions, by key
    fleet::server_table* listed{nullptr};
    reading current;
    std::vector<std::function<void(bool)>> waiting_for_next;
    std::int64_t routers{1};
    bool read_once{false};
    bool write_scheduled{false};
    bool writing{false};
    instant read_at{-1'000'000};
    caperpath::clock now{caperpath::clock::monotonic()};
};

} // namespace caperpath::gateway

#endif
