#ifndef CAPERPATH_SRC_GATEWAY_CRASHES_CRASH_TRACKER_HPP
#define CAPERPATH_SRC_GATEWAY_CRASHES_CRASH_TRACKER_HPP

#include "gateway/crashes/crash_cause_tracker.hpp"
#include "gateway/crashes/crash_row_packet.hpp"
#include "gateway/decision_log.hpp"
#include "gateway/followers/merged_row_writer.hpp"
#include "gateway/followers/table_follower.hpp"

#include <caperpath/base/clock.hpp>
#include <caperpath/fleet/crash_record.hpp>
#include <caperpath/store/async_port.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace caperpath::gateway
{

/// Evidence that was cleared since the crash of `server` has a cause. It
/// applies again if the cause is found to be wrong.
struct explained_evidence
{
    backend_server_id server;
    fleet::crash_evidence before;
};

/// Tracks the requests that crash servers, and writes a row to the store for
/// each that may be retried at another router. Rows stay queued while the store
/// is unreachable. Loop thread only; must outlive its calls, and `log` must
/// outlive it.
class crash_tracker
{
public:
    /// `salt` differs between routers. `announce` sends rows to the others.
    crash_tracker(boost::asio::any_io_executor const& executor,
                  store::async_port const& port, std::size_t salt,
                  crash_row_sender const& announce, decision_log& log);

    /// Starts to read the evidence of other routers; call once.
    void start();

    /// Call if another call to the store was lost: the pending call for changes
    /// may be lost too, so it is replaced.
    void note_lost_store_call();

    /// Handles a datagram of another router.
    void receive(std::string const& bytes);

    /// True once the rows that existed at the start were read.
    bool has_read_rows() const;

    /// True if there is evidence for any request. Otherwise callers need not
    /// compute fingerprints.
    bool has_evidence() const;

    fleet::crash_evidence evidence(fleet::fingerprint const& request) const;

    /// Remaining time for which `request` is not sent.
    duration quarantine_left(fleet::fingerprint const& request) const;

    /// Records that `server` crashed while it processed `request`, which was
    /// sent when `known` was the evidence. `details` describe the request in
    /// the log. Returns the updated evidence.
    fleet::crash_evidence record_crash(fleet::fingerprint const& request,
                                       fleet::crash_evidence const& known,
                                       std::string const& server,
                                       std::vector<log_field> details);

    /// Records that `request` got a complete response. `lifted_cause`: this
    /// lifted a cause of crashes that the request may have been at, so that
    /// routers which restore their evidence have to learn of the response.
    void record_response(fleet::fingerprint const& request, bool lifted_cause);

    /// Call when a request ends during which a server crashed. Publishes its
    /// evidence, even of a single crash, unless a response has cleared it: the
    /// caller may retry the request at any router.
    void publish_evidence(fleet::fingerprint const& request);

    /// The properties of requests that crash servers. Their rows are in the
    /// same table.
    crash_cause_tracker& causes();
    crash_cause_tracker const& causes() const;

private:
    void read_rows();
    bool take_rows(std::variant<std::vector<store::row>, error> const& reply,
                   std::vector<std::string> const& before,
                   std::vector<std::string> const& causes_before);
    void remove(std::string const& key);
    void remove_missing(std::vector<std::string> const& before,
                        std::set<std::string> const& found);
    void merge(std::vector<store::feed_row> const& rows);
    void merge(store::row const& row);
    void merge_evidence(fleet::fingerprint const& request,
                        std::string const& value, std::string const& source);
    void schedule_write(fleet::fingerprint const& request);
    std::optional<std::string> row_value(std::string const& key) const;
    void set_aside_evidence(backend_server_id const& server);
    void restore_evidence(backend_server_id const& server);
    void sweep();
    void log_evidence(std::string const& step,
                      fleet::fingerprint const& request,
                      std::string const& source,
                      std::vector<log_field> details = {});

    boost::asio::steady_timer read_timer;
    boost::asio::steady_timer sweep_timer;
    store::async_port port;
    decision_log& log;
    std::size_t salt;
    fleet::crash_record record;
    /// Requests of this router that were at a crash, by server.
    std::map<backend_server_id, std::set<fleet::fingerprint>> crashed;
    std::map<fleet::fingerprint, explained_evidence> set_aside;
    /// Requests whose evidence another router sent by datagram.
    std::set<fleet::fingerprint> announced;
    merged_row_writer writer;
    crash_cause_tracker cause_tracker;
    bool rows_read{false};
    table_follower follower;
    caperpath::clock now{caperpath::clock::monotonic()};
};

} // namespace caperpath::gateway

#endif
