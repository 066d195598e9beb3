#include "capacity/parts.hpp"
#include "capacity/probe.hpp"

#include <caperpath/observe/metrics.hpp>
#include <caperpath/observe/span_sink.hpp>
#include <caperpath/observe/trace.hpp>

#include <string>
#include <utility>

namespace caperpath::bench
{

namespace
{

constexpr std::size_t span_counts[] = {10, 100, 1'000};
constexpr std::size_t request_counts[] = {10, 1'000, 100'000};
constexpr std::size_t rounds = 9;

/// As `filters::finish_span` writes one of an attempt at a model engine.
observe::span make_span(observe::id_generator& ids, clock const& wall)
{
    auto const parent = observe::continue_trace("", ids);
    observe::span_builder made{"attempt", parent, ids, wall};
    made.with_attribute(observe::peer_attribute, "10.0.0.1:10000");
    made.with_attribute(observe::request_attribute,
                        "7f3c9a52-0b1d-4e6f-9a77-c0ffee000001");
    made.with_attribute(observe::vm_attribute, "entry-seoul-12");
    return made.finish();
}

double bytes_of_spans(std::size_t count)
{
    observe::id_generator ids{1};
    auto const wall = clock::wall();
    std::size_t bytes = 0;
    for (std::size_t i = 0; i < count; ++i)
    {
        bytes += observe::to_json_line(make_span(ids, wall)).size() + 1;
    }
    return static_cast<double>(bytes);
}

void count_request(observe::metrics& metrics, std::size_t index)
{
    constexpr std::int64_t spread = 500'000;
    auto const us = static_cast<std::int64_t>(index * 7'919) % spread;
    metrics.request_finished(request::outcome::completed, 200);
    metrics.stream_opened();
    metrics.first_token(us);
    metrics.token_gap(us);
    metrics.reserve_wait(us);
    metrics.bill_finished(budget::bill_state::durable);
    metrics.table_write(store::commit_outcome::applied);
    metrics.table_read(true);
    metrics.stream_closed();
}

} // namespace

void measure_observation(report& out)
{
    series bytes{"observation", "spans as written", "spans", "bytes", {}};
    series work{"observation", "making and writing spans", "spans", "us", {}};
    for (auto const count : span_counts)
    {
        auto const size = static_cast<double>(count);
        bytes.points.push_back({size, bytes_of_spans(count)});
        work.points.push_back(
            {size, time_call(rounds, 1,
                             [count](std::size_t) { bytes_of_spans(count); })});
    }
    series page{"observation", "metrics page", "requests", "bytes", {}};
    series counting{"observation", "metrics of requests", "requests", "us", {}};
    for (auto const count : request_counts)
    {
        observe::metrics metrics;
        auto const size = static_cast<double>(count);
        counting.points.push_back(
            {size, time_call(1, 1,
                             [&](std::size_t)
                             {
                                 for (std::size_t i = 0; i < count; ++i)
                                 {
                                     count_request(metrics, i);
                                 }
                             })});
        page.points.push_back(
            {size, static_cast<double>(metrics.render().size())});
    }
    for (auto* one : {&bytes, &work, &page, &counting})
    {
        out.lines.push_back(std::move(*one));
    }
}

} // namespace caperpath::bench
