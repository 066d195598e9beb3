#ifndef CAPERPATH_SRC_GATEWAY_MESSAGE_PARSER_HPP
#define CAPERPATH_SRC_GATEWAY_MESSAGE_PARSER_HPP

#include <caperpath/base/http_framing.hpp>
#include <caperpath/base/http_status.hpp>

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include <optional>
#include <string_view>

namespace caperpath::gateway
{

namespace http = boost::beast::http;

/// Returns what of `head` decides where its body ends. The result refers to
/// `head`. Thread safe for different heads.
template <bool IsRequest>
framing_fields framing_fields_of(http::header<IsRequest> const& head)
{
    framing_fields found;
    found.version = head.version();
    for (auto const& field : head)
    {
        std::string_view const value{field.value().data(),
                                     field.value().size()};
        if (field.name() == http::field::transfer_encoding)
        {
            found.codings.push_back(value);
        }
        else if (field.name() == http::field::content_length)
        {
            found.lengths.push_back(value);
        }
    }
    return found;
}

/// A parser that fails at the end of the head if the framing of the message is
/// ambiguous or its status is not one of HTTP. Boost.Beast ignores transfer
/// codings that it does not know, so it would take the body for the next
/// message. Not thread safe.
template <bool IsRequest, class Body>
class message_parser : public http::parser<IsRequest, Body>
{
public:
    /// Why the parser failed with `http::error::bad_transfer_encoding`; empty
    /// if it did not, or found the fault before the end of the head.
    std::optional<framing_fault> fault() const
    {
        return this->found;
    }

private:
    /// The fields behind the last chunk may contradict the head, which was
    /// acted on before they arrived: they are dropped.
    void on_field_impl(http::field name, boost::beast::string_view text,
                       boost::beast::string_view value,
                       boost::system::error_code&) override
    {
        if (!this->is_header_done())
        {
            this->get().insert(name, text, value);
        }
    }

    void on_header_impl(boost::system::error_code& failure) override
    {
        failure = {};
        if constexpr (!IsRequest)
        {
            if (!is_status(static_cast<int>(this->get().result_int())))
            {
                failure = http::error::bad_status;
                return;
            }
        }
        this->found =
            find_framing_fault(framing_fields_of<IsRequest>(this->get()));
        if (this->found)
        {
            failure = http::error::bad_transfer_encoding;
        }
    }

    std::optional<framing_fault> found;
};

template <class Body>
using request_parser = message_parser<true, Body>;

template <class Body>
using response_parser = message_parser<false, Body>;

} // namespace caperpath::gateway

#endif
