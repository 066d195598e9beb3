#ifndef CAPERPATH_SRC_HTTP_CUT_CONNECTION_HPP
#define CAPERPATH_SRC_HTTP_CUT_CONNECTION_HPP

#include <httplib.h>

namespace caperpath::http
{

/// Shuts down the connection on which `request` arrived, so that its sender
/// receives no byte of a response. Emulators use it to lose responses. Thread
/// safe.
/// @pre called inside the handler of `request`.
void cut_connection(httplib::Request const& request);

} // namespace caperpath::http

#endif
