#ifndef CAPERPATH_SRC_HTTP_MESSAGE_FRAMING_HPP
#define CAPERPATH_SRC_HTTP_MESSAGE_FRAMING_HPP

#include <httplib.h>

#include <optional>
#include <string_view>

namespace caperpath::http
{

/// Returns why it is ambiguous where the body of a request ends, as a single
/// word for logs, or nothing. `head` is the head as it was received:
/// cpp-httplib drops fields without a value, takes a length that is not a
/// number for 0, ignores unknown transfer codings and does not read the bodies
/// of some methods; it would take such a body for the next request. Thread
/// safe.
std::optional<std::string_view> find_request_fault(std::string_view head);

/// The same for the head of a response; also for statuses that end no request.
/// Fields without a value are not seen. Thread safe.
std::optional<std::string_view>
find_response_fault(httplib::Response const& response);

} // namespace caperpath::http

#endif
