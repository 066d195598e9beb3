#ifndef CAPERPATH_TESTS_GATEWAY_RESUMABLE_PROMPT_HPP
#define CAPERPATH_TESTS_GATEWAY_RESUMABLE_PROMPT_HPP

#include "gateway/fleet_site.hpp"

#include <string>

namespace caperpath::gateway
{

/// Returns a request with `id` that begins a stream, or goes on after the
/// second event of the one that `resumes` began.
inline std::string resumable_prompt(std::string const& id,
                                    std::string const& resumes = "")
{
    auto text = fleet_site::prompt("/resume/1", 500, 20);
    auto const at = text.find("Request-Id: ");
    auto const end = text.find("\r\n", at);
    text.replace(at, end - at,
                 "Request-Id: " + id +
                     (resumes.empty()
                          ? ""
                          : "\r\nLast-Event-Id: 2\r\nResumes: " + resumes));
    return text;
}

} // namespace caperpath::gateway

#endif
