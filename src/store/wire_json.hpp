#ifndef CAPERPATH_SRC_STORE_WIRE_JSON_HPP
#define CAPERPATH_SRC_STORE_WIRE_JSON_HPP

#include <caperpath/base/error.hpp>
#include <caperpath/config/json_reader.hpp>
#include <caperpath/store/table.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace caperpath::store::wire
{

/// Reads a VM of the platform's list, from settings or from the wire; adds
/// every fault. Thread safe.
listed_vm read_vm(nlohmann::json const& value, std::string const& path,
                  std::vector<config::fault>& faults);

/// Reads a row's version, which fits a signed 64-bit integer. Thread safe.
std::uint64_t read_version(config::json_reader& reader);

/// Parses `body` and reads it with `read`; fails with `invalid` and the path of
/// the first fault. Thread safe.
template <class Value>
result<Value> decode(std::string const& body,
                     Value (*read)(nlohmann::json const&,
                                   std::vector<config::fault>&))
{
    auto const value = nlohmann::json::parse(body, nullptr, false);
    if (value.is_discarded())
    {
        return fail(
            {error_kind::invalid, "decode", "", "the body is not JSON"});
    }
    std::vector<config::fault> faults;
    auto decoded = read(value, faults);
    if (!faults.empty())
    {
        auto const& first = faults.front();
        return fail({error_kind::invalid, "decode", "",
                     first.path + ": " + first.detail});
    }
    return decoded;
}

} // namespace caperpath::store::wire

#endif
