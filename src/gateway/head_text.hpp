#ifndef CAPERPATH_SRC_GATEWAY_HEAD_TEXT_HPP
#define CAPERPATH_SRC_GATEWAY_HEAD_TEXT_HPP

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/write.hpp>

#include <sstream>
#include <string>

namespace caperpath::gateway
{

/// The start line and the fields as they go over the wire, with the empty line
/// at their end. Thread safe.
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
