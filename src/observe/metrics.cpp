#include <caperpath/observe/metrics.hpp>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <mutex>

namespace caperpath::observe
{

namespace
{

constexpr double seconds_per_microsecond = 1e-6;
constexpr int largest_status_class = 5;

using counter_family = prometheus::Family<prometheus::Counter>;

counter_family& make_counters(prometheus::Registry& registry,
                              std::string const& name, std::string const& help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Counter& make_counter(prometheus::Registry& registry,
                                  std::string const& name,
                                  std::string const& help)
{
    return make_counters(registry, name, help).Add({});
}

prometheus::Gauge& make_gauge(prometheus::Registry& registry,
                              std::string const& name, std::string const& help)
{
    return prometheus::BuildGauge()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add({});
}

// Bounds in seconds, dense around the latency targets for the first token and
// for the gap between tokens.
prometheus::Histogram::BucketBoundaries latency_buckets()
{
    return {0.0001, 0.00025, 0.0005, 0.001, 0.002, 0.005, 0.01,
            0.02,   0.03,    0.04,   0.05,  0.075, 0.1,   0.2,
            0.5,    1,       2,      5,     10,    30,    60};
}

prometheus::Histogram& make_latency(prometheus::Registry& registry,
                                    std::string const& name,
                                    std::string const& help)
{
    return prometheus::BuildHistogram()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add({}, latency_buckets());
}

std::string status_class(int status)
{
    auto const first = status / 100;
    if (first < 1 || first > largest_status_class)
    {
        return "other";
    }
    return std::to_string(first) + "xx";
}

std::string name_of(budget::bill_state state)
{
    switch (state)
    {
    case budget::bill_state::durable:
        return "durable";
    case budget::bill_state::copied:
        return "copied";
    case budget::bill_state::local:
        break;
    }
    return "local";
}

std::string name_of(store::commit_outcome outcome)
{
    switch (outcome)
    {
    case store::commit_outcome::applied:
        return "applied";
    case store::commit_outcome::rejected:
        return "refused";
    case store::commit_outcome::unknown:
        break;
    }
    return "unknown";
}

double to_seconds(std::int64_t microseconds)
{
    return static_cast<double>(microseconds) * seconds_per_microsecond;
}

} // namespace

struct metrics::state
{
    // Looking up a labelled counter takes the family's lock. That happens a few
    // times per request, but never per token.
    prometheus::Registry registry;
    counter_family& requests{
        make_counters(this->registry, "caperpath_requests_total",
                      "Answered requests by outcome and status class.")};
    counter_family& refusals{make_counters(this->registry,
                                           "caperpath_refusals_total",
                                           "Refused requests by code.")};
    prometheus::Gauge& open_streams{make_gauge(
        this->registry, "caperpath_open_streams", "Open answer streams.")};
    prometheus::Histogram& first_token{
        make_latency(this->registry, "caperpath_first_token_seconds",
                     "Arrival of a request to its first token.")};
    prometheus::Histogram& token_gap{
        make_latency(this->registry, "caperpath_token_gap_seconds",
                     "Time between two tokens of a stream.")};
    prometheus::Histogram& reserve_wait{
        make_latency(this->registry, "caperpath_reserve_wait_seconds",
                     "Time a request waited for its reservation.")};
    counter_family& bills{
        make_counters(this->registry, "caperpath_bills_total",
                      "Bills by how safe they were when the request ended.")};
    counter_family& table_writes{
        make_counters(this->registry, "caperpath_table_writes_total",
                      "Writes to the platform's table by outcome.")};
    counter_family& table_reads{
        make_counters(this->registry, "caperpath_table_reads_total",
                      "Reads of the platform's table by result.")};
    prometheus::Counter& retries{
        make_counter(this->registry, "caperpath_retries_total",
                     "Requests sent to a further backend server.")};
    prometheus::Gauge& config_version{
        make_gauge(this->registry, "caperpath_config_version",
                   "Version of the configuration in force.")};
    prometheus::Gauge& leaving{
        make_gauge(this->registry, "caperpath_backend_servers_leaving",
                   "Backend servers that get no new work.")};
    prometheus::Counter& spans_dropped{
        make_counter(this->registry, "caperpath_spans_dropped_total",
                     "Spans given up because the queue was full.")};

    std::mutex mutex;
    std::map<std::string, prometheus::Counter*, std::less<>> refusal_codes;
    std::uint64_t last_spans_dropped{0};
};

metrics::metrics() : self{std::make_unique<state>()}
{
}

metrics::~metrics() = default;

void metrics::request_finished(request::outcome kind, int status)
{
    this->self->requests
        .Add({{"outcome", std::string{request::to_string(kind)}},
              {"status", status_class(status)}})
        .Increment();
}

void metrics::request_rejected(std::string_view code)
{
    auto& self = *this->self;
    std::lock_guard const lock{self.mutex};
    auto found = self.refusal_codes.find(code);
    if (found == self.refusal_codes.end())
    {
        auto const full = self.refusal_codes.size() >= max_refusal_codes;
        std::string const label{full ? "other" : code};
        auto& counter = self.refusals.Add({{"code", label}});
        found = self.refusal_codes.emplace(label, &counter).first;
    }
    found->second->Increment();
}

void metrics::stream_opened()
{
    this->self->open_streams.Increment();
}

void metrics::stream_closed()
{
    this->self->open_streams.Decrement();
}

void metrics::first_token(std::int64_t microseconds)
{
    this->self->first_token.Observe(to_seconds(microseconds));
}

void metrics::token_gap(std::int64_t microseconds)
{
    this->self->token_gap.Observe(to_seconds(microseconds));
}

void metrics::reserve_wait(std::int64_t microseconds)
{
    this->self->reserve_wait.Observe(to_seconds(microseconds));
}

void metrics::bill_finished(budget::bill_state state)
{
    this->self->bills.Add({{"state", name_of(state)}}).Increment();
}

void metrics::table_write(store::commit_outcome outcome)
{
    this->self->table_writes.Add({{"outcome", name_of(outcome)}}).Increment();
}

void metrics::table_read(bool succeeded)
{
    this->self->table_reads.Add({{"result", succeeded ? "ok" : "failed"}})
        .Increment();
}

void metrics::retried()
{
    this->self->retries.Increment();
}

void metrics::config_version(std::uint64_t version)
{
    this->self->config_version.Set(static_cast<double>(version));
}

void metrics::backend_servers_leaving(std::size_t count)
{
    this->self->leaving.Set(static_cast<double>(count));
}

void metrics::spans_dropped(std::uint64_t total)
{
    auto& self = *this->self;
    std::lock_guard const lock{self.mutex};
    if (total > self.last_spans_dropped)
    {
        self.spans_dropped.Increment(
            static_cast<double>(total - self.last_spans_dropped));
        self.last_spans_dropped = total;
    }
}

std::string metrics::render() const
{
    return prometheus::TextSerializer{}.Serialize(
        this->self->registry.Collect());
}

} // namespace caperpath::observe
