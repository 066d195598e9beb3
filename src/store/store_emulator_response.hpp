#ifndef CAPERPATH_SRC_STORE_STORE_EMULATOR_RESPONSE_HPP
#define CAPERPATH_SRC_STORE_STORE_EMULATOR_RESPONSE_HPP

#include <caperpath/config/json_reader.hpp>
#include <caperpath/store/table.hpp>
#include <caperpath/store/wire.hpp>

#include <httplib.h>

#include <string>
#include <variant>
#include <vector>

/// HTTP responses of the platform emulator. All functions are thread safe.
namespace caperpath::store
{

constexpr char json_type[] = "application/json";

/// Responds that nothing took effect, with the status for `kind`.
void write_rejection(httplib::Response& response, error_kind kind,
                     std::string detail);

/// Responds with every fault of a request body.
void write_rejection(httplib::Response& response,
                     std::vector<config::fault> const& faults);

/// @pre `outcome` is applied or rejected.
void write_response(httplib::Response& response, commit_result const& outcome);

/// Calls `use` with the decoded body, or responds that the body is invalid.
template <class Decode, class Use>
void with_body(httplib::Request const& request, httplib::Response& response,
               Decode decode, Use use)
{
    auto decoded = value_or_error([&] { return decode(request.body); });
    if (auto const* fault = std::get_if<error>(&decoded))
    {
        write_rejection(response, error_kind::invalid, fault->detail);
        return;
    }
    use(std::get<0>(decoded));
}

} // namespace caperpath::store

#endif
