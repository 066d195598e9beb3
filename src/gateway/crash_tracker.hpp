#ifndef CAPERPATH_SRC_GATEWAY_CRASH_TRACKER_HPP
#define CAPERPATH_SRC_GATEWAY_CRASH_TRACKER_HPP

#include "gateway/decision_log.hpp"
#include "gateway/table_follower.hpp"

#include <caperpath/base/clock.hpp>
#include <caperpath/fleet/crash_record.hpp>
#include <caperpath/store/async_port.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace caperpath::gateway
{

/// Tracks the requests that crash servers, and writes a row to the store for
/// each that may be retried at another router. Rows stay queued while the store
/// is unreachable. Loop thread only; must outlive its calls, and `log` must
/// outlive it.
class crash_tracker
{
public:
    /// `salt` differs between routers.
    crash_tracker(boost::asio::any_io_executor const& executor,
                  store::async_port port, std::size_t salt, decision_log& log);

    /// Starts to read the evidence of other routers; call once.
    void start();

    /// Call if another call to the store was lost: the pending call for changes
    /// may be lost too, so it is replaced.
    void note_lost_store_call();

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

    /// Records that `request` got a complete response.
    void record_response(fleet::fingerprint const& request);

    /// Call when a request ends during which a server crashed. Publishes its
    /// evidence, even of a single crash, unless a response has cleared it: the
    /// caller may retry the request at any router.
    void publish_evidence(fleet::fingerprint const& request);

private:
    using evidence_map = std::map<fleet::fingerprint, fleet::crash_evidence>;

    void read_rows();
    void merge(std::vector<store::feed_row> const& rows);
    void merge(store::row const& row);
    void schedule_write(fleet::fingerprint const& request);
    void write_after(duration pause);
    void write();
    void handle_write_result(evidence_map const& sent,
                             store::commit_result const& result);
    void sweep();
    void remove_old_rows();
    void log_evidence(std::string const& step,
                      fleet::fingerprint const& request,
                      std::string const& source,
                      std::vector<log_field> details = {});

    boost::asio::steady_timer read_timer;
    boost::asio::steady_timer write_timer;
    boost::asio::steady_timer sweep_timer;
    store::async_port port;
    decision_log& log;
    std::size_t salt;
    fleet::crash_record record;
    /// Versions of the rows that are in the store.
    std::map<fleet::fingerprint, std::uint64_t> rows;
    std::set<fleet::fingerprint> unwritten;
    bool rows_read{false};
    bool writing{false};
    int failures{}; ///< consecutive writes that were not applied
    table_follower follower;
    caperpath::clock now{caperpath::clock::monotonic()};
};

} // namespace caperpath::gateway

#endif
