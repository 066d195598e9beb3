#ifndef CAPERPATH_SRC_LOAD_REPORT_HPP
#define CAPERPATH_SRC_LOAD_REPORT_HPP

#include "load/record.hpp"
#include "load/scenario.hpp"
#include "load/tally.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace caperpath::load
{

/// Returns all results as one object. Thread safe.
nlohmann::json to_json(results const& read);

/// Returns one request as a line of JSON, for checks against the ledger. Thread
/// safe.
std::string to_json_line(scenario const& plan, record const& one);

/// Returns the results as a text table. Thread safe.
std::string to_table(results const& read);

/// Returns a progress line of a run. Thread safe.
std::string progress_line(results const& read, duration elapsed);

} // namespace caperpath::load

#endif
