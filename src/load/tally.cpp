#include "load/tally.hpp"

#include <prometheus/summary.h>

#include <algorithm>
#include <chrono>

namespace caperpath::load
{

namespace
{

constexpr double us_per_ms = 1'000.0;

// Quantiles with a bounded rank error, in bounded memory. P-square estimators
// (Boost.Accumulators) need less memory, but their error is unbounded on the
// bimodal latencies that a failover causes.
prometheus::Summary::Quantiles quantiles()
{
    return {{0.5, 0.005}, {0.95, 0.001}, {0.99, 0.0005}};
}

// Longer than any run, so that no sample expires.
constexpr std::chrono::hours window{24 * 30};

class latency
{
public:
    void add(std::int64_t microseconds)
    {
        auto const ms = static_cast<double>(microseconds) / us_per_ms;
        this->summary.Observe(ms);
        this->max_ms = std::max(this->max_ms, ms);
    }

    percentiles values() const
    {
        auto const collected = this->summary.Collect().summary;
        percentiles read;
        read.count = static_cast<std::int64_t>(collected.sample_count);
        if (read.count == 0)
        {
            return read;
        }
        read.p50_ms = collected.quantile[0].value;
        read.p95_ms = collected.quantile[1].value;
        read.p99_ms = collected.quantile[2].value;
        read.max_ms = this->max_ms;
        return read;
    }

private:
    prometheus::Summary summary{quantiles(), window, 1};
    double max_ms{0};
};

void add_counts(totals& sums, record const& one)
{
    ++sums.requests;
    ++sums.endings[std::string{to_string(one.end)}];
    if (one.end == ending::refused)
    {
        auto const& code = one.code;
        ++sums.refusals[code.empty() ? std::to_string(one.status) : code];
    }
    ++sums.outcomes[one.outcome.empty() ? "none" : one.outcome];
    sums.attempts += one.attempts;
    sums.cut_attempts += one.cut_attempts;
    sums.prompt_tokens += one.prompt_tokens;
    sums.completion_tokens += one.completion_tokens;
}

} // namespace

struct tally::latencies
{
    latency first_token;
    latency token_gap;
    latency short_answer;
    latency order;
    latency start_lag;
};

tally::tally(scenario const& plan)
    : plan{plan}, watched{std::make_unique<latencies>()}
{
}

tally::~tally() = default;

void tally::add(record const& one)
{
    auto const& sender = this->plan.customers[one.customer];
    std::lock_guard const lock{this->mutex};
    add_counts(this->sums.all, one);
    add_counts(this->sums.customers[sender.name], one);
    this->add_latencies(one, sender.kind);
    if (sender.kind == request_kind::order)
    {
        this->sums.orders.push_back(
            {one.key, sender.name, one.outcome, one.status, one.attempts});
    }
}

results tally::so_far() const
{
    std::lock_guard const lock{this->mutex};
    auto read = this->sums;
    read.first_token = this->watched->first_token.values();
    read.token_gap = this->watched->token_gap.values();
    read.short_answer = this->watched->short_answer.values();
    read.order = this->watched->order.values();
    read.start_lag = this->watched->start_lag.values();
    return read;
}

// Skips rejections and cut streams: they are short, and would make a failing
// fleet look fast.
void tally::add_latencies(record const& one, request_kind kind)
{
    this->watched->start_lag.add(one.start_lag_us);
    if (one.end != ending::completed)
    {
        return;
    }
    switch (kind)
    {
    case request_kind::stream:
        this->watched->first_token.add(one.first_token_us);
        for (auto const gap : one.gap_us)
        {
            this->watched->token_gap.add(gap);
        }
        break;
    case request_kind::short_answer:
        this->watched->short_answer.add(one.total_us);
        break;
    case request_kind::order:
        this->watched->order.add(one.total_us);
        break;
    }
}

} // namespace caperpath::load
