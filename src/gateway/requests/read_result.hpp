#ifndef CAPERPATH_SRC_GATEWAY_REQUESTS_READ_RESULT_HPP
#define CAPERPATH_SRC_GATEWAY_REQUESTS_READ_RESULT_HPP

#include "gateway/requests/exchange.hpp"

namespace caperpath::gateway
{

enum class read_end
{
    whole,    ///< a request was read
    rejected, ///< invalid, too large or too late
    closed    ///< the caller disconnected, or was idle for too long
};

/// The result of reading a request from a connection.
struct read_result
{
    read_end end{read_end::closed};
    rejection why{};
    caller_request request;
    instant arrived{};
    duration unread{}; ///< how long it had waited when it was read
};

} // namespace caperpath::gateway

#endif
