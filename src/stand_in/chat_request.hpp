#ifndef CAPERPATH_STAND_IN_CHAT_REQUEST_HPP
#define CAPERPATH_STAND_IN_CHAT_REQUEST_HPP

#include "stand_in/response_stream.hpp"
#include "stand_in/scheduler.hpp"

#include <caperpath/config/json_reader.hpp>

#include <httplib.h>

#include <string>
#include <vector>

namespace caperpath::stand_in
{

/// A validated call of `POST /v1/chat/completions`. Immutable value.
struct chat_request
{
    generation_request generation;
    response_format form;

    friend bool operator==(chat_request const&, chat_request const&) = default;
};

/// Checks the body and the headers `X-Request-Id`, `Caperpath-Attempt`,
/// `Caperpath-Resume-Offset` and `Caperpath-Priority`; adds every error to
/// `faults`. Ignores unknown members of the body. Thread safe.
chat_request parse_chat(httplib::Request const& request,
                        nlohmann::json const& body,
                        std::vector<config::fault>& faults);

} // namespace caperpath::stand_in

#endif
