#ifndef CAPERPATH_SRC_CTL_HTTP_CLIENT_HPP
#define CAPERPATH_SRC_CTL_HTTP_CLIENT_HPP

#include "ctl/session.hpp"

namespace caperpath::ctl
{

/// An `http_client` over cpp-httplib with timeouts. Blocks; thread safe. @pre
/// `config::is_address(address)`.
result<http_response> call_http(std::string const& address,
                                std::string const& path,
                                std::string const& body);

} // namespace caperpath::ctl

#endif
