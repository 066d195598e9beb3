#ifndef CAPERPATH_BASE_HTTP_STATUS_HPP
#define CAPERPATH_BASE_HTTP_STATUS_HPP

namespace caperpath
{

inline constexpr int http_ok = 200;
inline constexpr int http_bad_request = 400;
inline constexpr int http_unauthorized = 401;
inline constexpr int http_payment_required = 402;
inline constexpr int http_not_found = 404;
inline constexpr int http_request_timeout = 408;
inline constexpr int http_conflict = 409;
inline constexpr int http_payload_too_large = 413;
inline constexpr int http_misdirected = 421;
inline constexpr int http_unprocessable = 422;
inline constexpr int http_too_many = 429;
inline constexpr int http_internal_error = 500;
inline constexpr int http_bad_gateway = 502;
inline constexpr int http_unavailable = 503;
inline constexpr int http_gateway_timeout = 504;

/// The first status of each class. From `http_client_error` up to, but not
/// including, `http_server_error` the request is at fault.
inline constexpr int http_client_error = 400;
inline constexpr int http_server_error = 500;

/// True if HTTP defines the class of this status. Recipients disagree about
/// what any other number means.
constexpr bool is_status(int status)
{
    constexpr int first = 100;
    constexpr int first_undefined = 600;
    return status >= first && status < first_undefined;
}

/// True if a response with this status ends its request: an interim one does
/// not.
constexpr bool is_final_status(int status)
{
    return status >= http_ok && is_status(status);
}

constexpr bool is_success(int status)
{
    constexpr int first_success = 200;
    constexpr int first_redirect = 300;
    return status >= first_success && status < first_redirect;
}

/// True if callers take this status for proof that the request has not run and
/// never will.
constexpr bool promises_not_run(int status)
{
    return status == http_request_timeout || status == http_misdirected ||
           status == http_too_many || status == http_unavailable;
}

} // namespace caperpath

#endif
