#ifndef CAPERPATH_SRC_PLATFORM_WIRE_JSON_HPP
#define CAPERPATH_SRC_PLATFORM_WIRE_JSON_HPP

#include <caperpath/config/json_reader.hpp>
#include <caperpath/platform/table.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace caperpath::platform::wire
{

/// Reads a VM of the platform's list, in settings as on the wire; adds every
/// fault. Thread safe.
listed_vm read_vm(nlohmann::json const& value, std::string const& path,
                  std::vector<config::fault>& faults);

} // namespace caperpath::platform::wire

#endif
