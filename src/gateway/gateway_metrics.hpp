#ifndef CAPERPATH_SRC_GATEWAY_GATEWAY_METRICS_HPP
#define CAPERPATH_SRC_GATEWAY_GATEWAY_METRICS_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace caperpath::gateway
{

/// The gateway's metrics over a registry of its own. Labels are bounded: they
/// name outcomes and steps, never a request or a customer. Loop thread only.
class gateway_metrics
{
public:
    gateway_metrics();
    ~gateway_metrics();

    gateway_metrics(gateway_metrics const&) = delete;
    gateway_metrics& operator=(gateway_metrics const&) = delete;

    /// One answered request, its status and the reason for it.
    void request_ended(std::string_view reason, int status);

    /// From a request's arrival to the first part of its answer.
    void first_part(std::int64_t ms);

    /// From the send to a server to the first part of its answer.
    void server_first_part(std::int64_t ms);

    /// How long a reservation of tokens took.
    void reserve_wait(std::int64_t ms);

    /// A request sent to a server; `repeat` if it was sent before.
    void sent(bool repeat);

    /// The configuration in force and how many servers are listed.
    void site_version(std::uint64_t version);
    void servers_listed(std::size_t count);

    /// The store answered a call, or did not.
    void store_call(bool reached);

    void lines_dropped(std::uint64_t total);

    /// The registry in Prometheus' text format.
    std::string render() const;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace caperpath::gateway

#endif
