#ifndef CAPERPATH_SRC_GATEWAY_CRASH_KEEPER_HPP
#define CAPERPATH_SRC_GATEWAY_CRASH_KEEPER_HPP

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

/// What this router knows of requests that crash servers, and a row in the
/// store for each that may come again at another router. While the store is
/// out of reach rows wait here. Loop thread only; outlives its calls, and `log`
/// outlives it.
class crash_keeper
{
public:
    /// `salt` is another one in each router.
    crash_keeper(boost::asio::any_io_executor const& executor,
                 store::async_port port, std::size_t salt, decision_log& log);

    /// Begins to read what other routers know; call once.
    void start();

    /// A call to the store was lost: what others wrote may be missed as well.
    void store_call_missed();

    /// True once it has read what other routers knew at its start.
    bool has_read() const;

    /// Without any evidence no request needs a fingerprint.
    bool knows_any() const;

    fleet::crash_evidence evidence(fleet::fingerprint const& request) const;

    /// What is left of the time for which `request` is not sent.
    duration quarantine_left(fleet::fingerprint const& request) const;

    /// `server` crashed while it had `request`, sent to it when `known` was
    /// known. Returns what is known now.
    fleet::crash_evidence crashed(fleet::fingerprint const& request,
                                  fleet::crash_evidence const& known,
                                  std::string const& server);

    /// A whole answer came.
    void answered(fleet::fingerprint const& request);

    /// The caller got no answer and may send the request again, anywhere.
    void left_unanswered(fleet::fingerprint const& request);

private:
    using evidence_map = std::map<fleet::fingerprint, fleet::crash_evidence>;

    void read_rows();
    void take(std::vector<store::feed_row> const& rows);
    void take(store::row const& row);
    void share(fleet::fingerprint const& request);
    void write_soon(duration pause);
    void write();
    void wrote(evidence_map const& sent, store::commit_result const& result);
    void sweep();
    void remove_rows();
    void note(std::string const& step, fleet::fingerprint const& request,
              std::string const& who);

    boost::asio::steady_timer read_timer;
    boost::asio::steady_timer write_timer;
    boost::asio::steady_timer sweep_timer;
    store::async_port port;
    decision_log& log;
    std::size_t salt;
    fleet::crash_record record;
    /// Versions of the rows in the store.
    std::map<fleet::fingerprint, std::uint64_t> rows;
    std::set<fleet::fingerprint> unwritten;
    bool rows_read{false};
    bool writing{false};
    int failures{}; ///< writes in a row that were not applied
    table_follower follower;
    caperpath::clock now{caperpath::clock::monotonic()};
};

} // namespace caperpath::gateway

#endif
