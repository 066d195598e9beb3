#ifndef CAPERPATH_SRC_HTTP_CUT_CONNECTION_HPP
#define CAPERPATH_SRC_HTTP_CUT_CONNECTION_HPP

#include <httplib.h>

namespace caperpath::http
{

/// Shuts down the connection that `request` came in on, so that its sender
/// gets no byte of an answer. For stand-ins that lose answers. Thread safe.
/// @pre called inside the handler that was given `request`.
void cut_connection(httplib::Request const& request);

} // namespace caperpath::http

#endif
