#include "gateway/requests/parse_rejection.hpp"

#include <caperpath/base/http_status.hpp>

namespace caperpath::gateway
{

namespace
{

constexpr int header_too_large = 431;

} // namespace

rejection parse_rejection(body_parser const& parser,
                          boost::system::error_code const& fault)
{
    if (auto const framing = parser.fault())
    {
        return {http_bad_request, to_text(*framing)};
    }
    if (fault == http::error::header_limit)
    {
        return {header_too_large, "header_too_large"};
    }
    if (fault == http::error::body_limit)
    {
        return {http_payload_too_large, "body_too_large"};
    }
    return {http_bad_request, "no_request"};
}

} // namespace caperpath::gateway
