#ifndef CAPERPATH_BENCH_CAPACITY_PARTS_HPP
#define CAPERPATH_BENCH_CAPACITY_PARTS_HPP

#include "capacity/series.hpp"

/// The parts that need no other process. Each adds what it measured.
namespace caperpath::bench
{

/// Budgets in memory: bytes, a reservation with its bill, and one pass over all
/// budgets as the controller makes it at each event.
void measure_budgets(report& out);

/// Bills a write, and the spent row that every write repeats.
void measure_settlement(report& out);

/// Documents by customers, backend servers and budgets.
void measure_configuration(report& out);

/// The view of backend servers and one choice.
void measure_engine_view(report& out);

/// Spans a request and the size of the metrics page.
void measure_observation(report& out);

} // namespace caperpath::bench

#endif
