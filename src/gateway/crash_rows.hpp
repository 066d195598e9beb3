#ifndef CAPERPATH_SRC_GATEWAY_CRASH_ROWS_HPP
#define CAPERPATH_SRC_GATEWAY_CRASH_ROWS_HPP

#include <caperpath/fleet/crash_record.hpp>

#include <optional>
#include <string>

/// The rows of requests that were at crashes, one a request. All stand in one
/// partition, named by the end of their keys. Thread safe.
namespace caperpath::gateway
{

inline constexpr char crash_table[] = "crash";
inline constexpr char crash_range_begin[] = "crash//fleet";
inline constexpr char crash_range_end[] = "crash0/fleet";

std::string crash_key(fleet::fingerprint const& request);

/// Nothing for the key of another row.
std::optional<fleet::fingerprint> crash_request(std::string const& key);

std::string encode_evidence(fleet::crash_evidence const& of);

/// Nothing for a row that no router of this version writes.
std::optional<fleet::crash_evidence> decode_evidence(std::string const& text);

} // namespace caperpath::gateway

#endif
