#ifndef CAPERPATH_SRC_CONFIG_DOCUMENT_CHECKS_HPP
#define CAPERPATH_SRC_CONFIG_DOCUMENT_CHECKS_HPP

#include <caperpath/config/document.hpp>
#include <caperpath/config/json_reader.hpp>

#include <vector>

namespace caperpath::config
{

/// Adds a fault for each reference to something that `source` does not contain,
/// and for each key or address that two entries share. Thread safe.
void check_references(document const& source, std::vector<fault>& faults);

} // namespace caperpath::config

#endif
