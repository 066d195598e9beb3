#ifndef CAPERPATH_STAND_IN_REPLIES_HPP
#define CAPERPATH_STAND_IN_REPLIES_HPP

#include <caperpath/config/json_reader.hpp>

#include <httplib.h>

#include <string>
#include <string_view>
#include <vector>

/// Responses of both emulators. All functions are thread safe.
namespace caperpath::stand_in
{

void reply_json(httplib::Response& response, int status,
                nlohmann::json const& body);

/// Responds with an OpenAI error object.
void reply_error(httplib::Response& response, int status, std::string_view type,
                 std::string_view message);

/// Responds with 400 and every fault of the body with its path.
void reply_faults(httplib::Response& response,
                  std::vector<config::fault> const& faults);

/// Responds with 503 and the proof that the request was not run.
void reply_not_run(httplib::Response& response, std::string_view message);

/// Returns the body as JSON; null, which every object reader rejects, if it is
/// not JSON.
nlohmann::json parse_body(httplib::Request const& request);

} // namespace caperpath::stand_in

#endif
