#ifndef CAPERPATH_SRC_GATEWAY_CRASHES_CRASH_ROWS_HPP
#define CAPERPATH_SRC_GATEWAY_CRASHES_CRASH_ROWS_HPP

#include <caperpath/fleet/crash_record.hpp>

#include <optional>
#include <string>

/// Keys and values of the rows of requests that crash servers, one row per
/// request. The suffix of the keys puts all of them into one partition. The
/// range holds all keys with the prefix "crash/": '0' follows '/' in ASCII.
/// Thread safe.
namespace caperpath::gateway
{

inline constexpr char crash_table[] = "crash";
inline constexpr char crash_range_begin[] = "crash//fleet";
inline constexpr char crash_range_end[] = "crash0/fleet";

std::string crash_key(fleet::fingerprint const& request);

/// Returns nothing if `key` is not of this table.
std::optional<fleet::fingerprint> crash_request(std::string const& key);

std::string encode_evidence(fleet::crash_evidence const& evidence);

/// Returns nothing if `text` is not in the format of this version.
std::optional<fleet::crash_evidence> decode_evidence(std::string const& text);

} // namespace caperpath::gateway

#endif
