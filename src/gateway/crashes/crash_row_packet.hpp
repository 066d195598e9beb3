#ifndef CAPERPATH_SRC_GATEWAY_CRASHES_CRASH_ROW_PACKET_HPP
#define CAPERPATH_SRC_GATEWAY_CRASHES_CRASH_ROW_PACKET_HPP

#include <caperpath/base/error.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

/// Rows about crashes that a router sends to the others at once: the store may
/// take seconds to write them.
namespace caperpath::gateway
{

/// The values of rows by key.
using crash_row_values = std::map<std::string, std::string>;

/// Sends rows to all other routers.
using crash_row_sender = std::function<void(crash_row_values const& values)>;

/// True if `bytes` begin as an encoded packet of this kind. Thread safe.
bool is_crash_row_packet(std::string const& bytes);

/// Encodes rows as datagrams of usual size; a larger row gets its own. Thread
/// safe.
std::vector<std::string> encode_crash_rows(crash_row_values const& values);

/// Decodes one datagram; error `invalid` if it is malformed. Thread safe.
result<crash_row_values> decode_crash_rows(std::string const& bytes);

} // namespace caperpath::gateway

#endif
