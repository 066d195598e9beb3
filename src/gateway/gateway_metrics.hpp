#ifndef CAPERPATH_SRC_GATEWAY_GATEWAY_METRICS_HPP
#define CAPERPATH_SRC_GATEWAY_GATEWAY_METRICS_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace caperpath::gateway
{

/// The metrics of the gateway, in their own registry. Label values are bounded:
/// they name outcomes and steps, never requests or customers. Loop thread only.
class gateway_metrics
{
public:
    gateway_metrics();
    ~gateway_metrics();

    gateway_metrics(gateway_metrics const&) = delete;
    gateway_metrics& operator=(gateway_metrics const&) = delete;

    /// Counts a finished request by its status and reason.
    void request_ended(std::string_view reason, int status);

    /// Time from the arrival of a request to the first part of its response.
    void first_part(std::int64_t ms);

    /// Time from a send to a server to the first part of its response.
    void server_first_part(std::int64_t ms);

    /// Time that a reservation of tokens took.
    void reserve_wait(std::int64_t ms);

    /// How late the event loop ran a timer, and how far it stays behind.
    void loop_delay(std::int64_t ms, std::int64_t lasting_ms);

    /// Time that a request had waited when it was read.
    void unread(std::int64_t ms);

    /// Counts a send to a server; `retry` if the request was sent before,
    /// `relayed` if another router relays it.
    void sent(bool retry, bool relayed);

    /// Counts a request that resumes a stream, by whether the stream's version
    /// is known.
    void stream_resumed(bool version_known);

    /// The configuration in use and the number of listed servers.
    void site_version(std::uint64_t version);
    void servers_listed(std::size_t count);

    /// Services of which this router reaches no server itself.
    void services_cut_off(std::size_t count);

    /// Failure domains whose servers get no requests, and servers that are
    /// cold.
    void evacuated(std::size_t count);
    void servers_cold(std::size_t count);

    /// Causes of crashes whose requests are rejected.
    void crash_causes(std::size_t count);

    /// Counts a store call by whether the store responded.
    void store_call(bool reached);

    void lines_dropped(std::uint64_t total);

    /// Returns the registry in Prometheus' text format.
    std::string render() const;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace caperpath::gateway

#endif
