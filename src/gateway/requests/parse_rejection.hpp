#ifndef CAPERPATH_SRC_GATEWAY_REQUESTS_PARSE_REJECTION_HPP
#define CAPERPATH_SRC_GATEWAY_REQUESTS_PARSE_REJECTION_HPP

#include "gateway/message_parser.hpp"
#include "gateway/requests/exchange.hpp"

#include <boost/beast/http/string_body.hpp>

namespace caperpath::gateway
{

using body_parser = request_parser<http::string_body>;

/// The response to a request at which `parser` failed with `fault`. The end of
/// that request is unknown, so its connection must be closed. Thread safe for
/// different parsers.
rejection parse_rejection(body_parser const& parser,
                          boost::system::error_code const& fault);

} // namespace caperpath::gateway

#endif
