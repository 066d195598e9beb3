#ifndef CAPERPATH_STAND_IN_REPLIES_HPP
#define CAPERPATH_STAND_IN_REPLIES_HPP

#include <caperpath/config/json_reader.hpp>

#include <httplib.h>

#include <string>
#include <string_view>
#include <vector>

/// Answers that both stand-ins give. All functions here are thread safe.
namespace caperpath::stand_in
{

void reply_json(httplib::Response& response, int status,
                nlohmann::json const& body);

/// OpenAI's error object.
void reply_error(httplib::Response& response, int status, std::string_view type,
                 std::string_view message);

/// 400 that names every fault of the body by its path.
void reply_faults(httplib::Response& response,
                  std::vector<config::fault> const& faults);

/// 503 with the proof that nothing of the request was run.
void reply_not_run(httplib::Response& response, std::string_view message);

/// The body as JSON; null when it is none, which every reader of an object
/// refuses.
nlohmann::json parse_body(httplib::Request const& request);

} // namespace caperpath::stand_in

#endif
