#ifndef CAPERPATH_SRC_LOAD_REPORT_HPP
#define CAPERPATH_SRC_LOAD_REPORT_HPP

#include "load/record.hpp"
#include "load/scenario.hpp"
#include "load/tally.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace caperpath::load
{

/// Thread safe. All results as one object.
nlohmann::json to_json(results const& read);

/// Thread safe. One line of JSON a request, for checks against the ledger.
std::string to_json_line(scenario const& plan, record const& one);

/// Thread safe. A table for people.
std::string to_table(results const& read);

/// Thread safe. One line for a run that goes on.
std::string progress_line(results const& read, duration elapsed);

} // namespace caperpath::load

#endif
