#ifndef CAPERPATH_SRC_GATEWAY_CRASHES_CRASH_CAUSE_TRACKER_HPP
#define CAPERPATH_SRC_GATEWAY_CRASHES_CRASH_CAUSE_TRACKER_HPP

#include "gateway/crashes/crash_row_packet.hpp"
#include "gateway/decision_log.hpp"
#include "gateway/followers/merged_row_writer.hpp"

#include <caperpath/base/clock.hpp>
#include <caperpath/fleet/crash_cause.hpp>
#include <caperpath/store/async_port.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace caperpath::gateway
{

/// A cause for which requests are not sent.
struct known_cause
{
    std::string id; ///< as in the log
    /// How long its requests are rejected from now on; short while other
    /// routers may still refute it.
    duration left{};
    bool is_final{false}; ///< no router has refuted it in time
};

/// Called when it changes whether the cause of a server's crash is known.
struct crash_explanation_listener
{
    std::function<void(backend_server_id const&)> explained;
    /// The cause was found to be wrong.
    std::function<void(backend_server_id const&)> unexplained;
};

/// Tracks which properties of requests crash servers, together with the other
/// routers: each writes a row with the suspects that it knows of a crash, and
/// one writes the cause that follows from them. Loop thread only; must outlive
/// its calls, and `log` must outlive it.
class crash_cause_tracker
{
public:
    /// `salt` differs between routers. `announce` sends rows to the other
    /// routers.
    crash_cause_tracker(boost::asio::any_io_executor const& executor,
                        store::async_port port, std::size_t salt,
                        crash_explanation_listener listener,
                        crash_row_sender const& announce, decision_log& log);

    /// True if anything is known of crashes. Otherwise all requests are clear.
    bool has_evidence() const;

    fleet::crash_verdict verdict(service_id const& service,
                                 fleet::crash_traits const& traits) const;

    /// The number of causes whose requests are not sent.
    std::size_t rejected_causes() const;

    /// The cause for which a request is not sent; empty if there is none.
    std::optional<known_cause>
    cause_of(service_id const& service,
             fleet::crash_traits const& traits) const;

    /// The property for which a request is on probation; empty if it is not.
    std::optional<fleet::crash_trait>
    main_suspect(service_id const& service,
                 fleet::crash_traits const& traits) const;

    /// True if this router has recorded the crash.
    bool has_recorded(backend_server_id const& server) const;

    /// Records that `server` crashed with `requests` of this router, which have
    /// the suspects of `crash`. Call once for each crash.
    void record_crash(backend_server_id const& server,
                      fleet::server_crash const& crash, std::size_t requests);

    /// Records that a server of `version` completed a request. Returns true if
    /// this lifted a cause.
    bool record_response(service_id const& service, std::string const& version,
                         fleet::crash_traits const& traits);

    /// Merges a row of another router; ignores rows of other kinds. `earlier`:
    /// it is from before this router followed the rows.
    void merge(store::row const& row, bool earlier = false);

    /// The same for a row that another router sent and the store may not have.
    void merge_announced(std::string const& key, std::string const& value);

    /// Handles the removal of a row. An operator who removes the row of a cause
    /// lifts it.
    void remove(std::string const& key);

    /// The keys of the rows that the store holds, as far as is known.
    std::vector<std::string> stored_keys() const;

    /// Removes what was older than its lifetime at `now`, and its rows.
    void forget_old(instant now);

private:
    void merge_report(store::row const& row, bool earlier);
    void merge_cause(store::row const& row);
    void decide();
    void decide_after(duration pause);
    void schedule_late_causes();
    void publish(fleet::crash_cause const& cause, std::string_view source);
    void announce_explained();
    void announce_unexplained(std::vector<backend_server_id> const& servers);
    std::optional<std::string> row_value(std::string const& key) const;

    boost::asio::steady_timer decision_timer;
    boost::asio::steady_timer late_timer;
    std::size_t salt;
    crash_explanation_listener listener;
    decision_log& log;
    fleet::crash_investigation evidence;
    std::map<std::string, std::string> own_reports; ///< values by key
    std::set<backend_server_id> recorded; ///< crashes with requests of its own
    std::map<std::string, fleet::crash_cause> cause_keys;
    std::map<std::string, instant> report_rows; ///< first seen, by key
    /// Causes that another router will most likely write.
    std::set<std::string> late_causes;
    /// When `decide` runs next.
    std::optional<instant> decision_at;
    merged_row_writer writer;
    caperpath::clock now{caperpath::clock::monotonic()};
};

} // namespace caperpath::gateway

#endif
