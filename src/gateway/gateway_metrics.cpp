#include "gateway/gateway_metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <string>

namespace caperpath::gateway
{

namespace
{

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;

constexpr double ms_per_second = 1'000.0;

/// Seconds; finer around the latency targets for the first part.
prometheus::Histogram::BucketBoundaries const answer_buckets{
    0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.45, 0.6, 1, 1.5, 2.5, 5, 10};
/// Seconds; drawing tokens from the store takes about 0.02.
prometheus::Histogram::BucketBoundaries const wait_buckets{
    0.001, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1};

} // namespace

struct gateway_metrics::state
{
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& ended{
        BuildCounter()
            .Name("caperpath_requests_total")
            .Help("Answered requests by status and reason.")
            .Register(this->registry)};
    prometheus::Family<prometheus::Histogram>& times{
        BuildHistogram()
            .Name("caperpath_time_seconds")
            .Help("Time of a step of requests.")
            .Register(this->registry)};
    prometheus::Family<prometheus::Counter>& sends{
        BuildCounter()
            .Name("caperpath_sends_total")
            .Help("Requests sent to servers, by whether it was a repeat.")
            .Register(this->registry)};
    prometheus::Family<prometheus::Counter>& resumed{
        BuildCounter()
            .Name("caperpath_streams_resumed_total")
            .Help("Requests that resume a stream, by whether its version is "
                  "known.")
            .Register(this->registry)};
    prometheus::Family<prometheus::Counter>& calls{
        BuildCounter()
            .Name("caperpath_store_calls_total")
            .Help("Calls to the store by result.")
            .Register(this->registry)};
    prometheus::Family<prometheus::Gauge>& gauges{
        BuildGauge()
            .Name("caperpath_state")
            .Help("What the process believes, by name.")
            .Register(this->registry)};
    prometheus::Histogram& first{
        this->times.Add({{"step", "first_part"}}, answer_buckets)};
    prometheus::Histogram& server_first{
        this->times.Add({{"step", "server_first_part"}}, answer_buckets)};
    prometheus::Histogram& reserve{
        this->times.Add({{"step", "reserve"}}, wait_buckets)};
    prometheus::Histogram& unread{
        this->times.Add({{"step", "unread"}}, wait_buckets)};
    prometheus::Histogram& loop_delay{
        this->times.Add({{"step", "loop_delay"}}, wait_buckets)};
    prometheus::Counter& first_sends{this->sends.Add({{"repeat", "no"}})};
    prometheus::Counter& retries{this->sends.Add({{"repeat", "yes"}})};
    prometheus::Counter& relayed{
        BuildCounter()
            .Name("caperpath_relayed_sends_total")
            .Help("Requests sent to servers through another router.")
            .Register(this->registry)
            .Add({})};
    prometheus::Counter& reached{this->calls.Add({{"result", "answered"}})};
    prometheus::Counter& failed{this->calls.Add({{"result", "failed"}})};
    prometheus::Gauge& version{
        this->gauges.Add({{"name", "configuration_version"}})};
    prometheus::Gauge& servers{this->gauges.Add({{"name", "servers_listed"}})};
    prometheus::Gauge& causes{this->gauges.Add({{"name", "crash_causes"}})};
    prometheus::Gauge& cut_off{
        this->gauges.Add({{"name", "services_cut_off"}})};
    prometheus::Gauge& evacuated{
        this->gauges.Add({{"name", "failure_domains_evacuated"}})};
    prometheus::Gauge& cold{this->gauges.Add({{"name", "servers_cold"}})};
    prometheus::Gauge& behind{
        this->gauges.Add({{"name", "event_loop_behind_seconds"}})};
    prometheus::Gauge& dropped{
        this->gauges.Add({{"name", "log_lines_dropped"}})};
};

gateway_metrics::gateway_metrics() : self{std::make_unique<state>()}
{
}

gateway_metrics::~gateway_metrics() = default;

void gateway_metrics::request_ended(std::string_view reason, int status)
{
    this->self->ended
        .Add({{"reason", std::string{reason}},
              {"status", std::to_string(status)}})
        .Increment();
}

void gateway_metrics::first_part(std::int64_t ms)
{
    this->self->first.Observe(static_cast<double>(ms) / ms_per_second);
}

void gateway_metrics::server_first_part(std::int64_t ms)
{
    this->self->server_first.Observe(static_cast<double>(ms) / ms_per_second);
}

void gateway_metrics::reserve_wait(std::int64_t ms)
{
    this->self->reserve.Observe(static_cast<double>(ms) / ms_per_second);
}

void gateway_metrics::loop_delay(std::int64_t ms, std::int64_t lasting_ms)
{
    this->self->loop_delay.Observe(static_cast<double>(ms) / ms_per_second);
    this->self->behind.Set(static_cast<double>(lasting_ms) / ms_per_second);
}

void gateway_metrics::unread(std::int64_t ms)
{
    this->self->unread.Observe(static_cast<double>(ms) / ms_per_second);
}

void gateway_metrics::sent(bool retry, bool relayed)
{
    (retry ? this->self->retries : this->self->first_sends).Increment();
    if (relayed)
    {
        this->self->relayed.Increment();
    }
}

void gateway_metrics::stream_resumed(bool version_known)
{
    this->self->resumed.Add({{"version", version_known ? "known" : "unknown"}})
        .Increment();
}

void gateway_metrics::site_version(std::uint64_t version)
{
    this->self->version.Set(static_cast<double>(version));
}

void gateway_metrics::servers_listed(std::size_t count)
{
    this->self->servers.Set(static_cast<double>(count));
}

void gateway_metrics::crash_causes(std::size_t count)
{
    this->self->causes.Set(static_cast<double>(count));
}

void gateway_metrics::evacuated(std::size_t count)
{
    this->self->evacuated.Set(static_cast<double>(count));
}

void gateway_metrics::servers_cold(std::size_t count)
{
    this->self->cold.Set(static_cast<double>(count));
}

void gateway_metrics::services_cut_off(std::size_t count)
{
    this->self->cut_off.Set(static_cast<double>(count));
}

void gateway_metrics::store_call(bool reached)
{
    (reached ? this->self->reached : this->self->failed).Increment();
}

void gateway_metrics::lines_dropped(std::uint64_t total)
{
    this->self->dropped.Set(static_cast<double>(total));
}

std::string gateway_metrics::render() const
{
    return prometheus::TextSerializer{}.Serialize(
        this->self->registry.Collect());
}

} // namespace caperpath::gateway
