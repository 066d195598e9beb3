#ifndef CAPERPATH_SRC_GATEWAY_REQUESTS_HEAD_TEXT_HPP
#define CAPERPATH_SRC_GATEWAY_REQUESTS_HEAD_TEXT_HPP

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/write.hpp>

#include <sstream>
#include <string>

namespace caperpath::gateway
{

/// Returns the start line and the fields in wire format, including the empty
/// line that ends them. Thread safe.
template <bool IsRequest, class Body, class Fields>
std::string
head_text(boost::beast::http::message<IsRequest, Body, Fields> const& head)
{
    std::ostringstream text;
    text << head.base();
    return text.str();
}

} // namespace caperpath::gateway

#endif
