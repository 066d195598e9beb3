#ifndef CAPERPATH_CONFIG_PATCH_HPP
#define CAPERPATH_CONFIG_PATCH_HPP

#include <caperpath/config/json_reader.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace caperpath::config
{

/// One difference between two documents. `before` or `after` is JSON text and
/// empty where the member did not exist. Immutable value.
struct change
{
    std::string path;
    std::string before;
    std::string after;

    friend bool operator==(change const&, change const&) = default;
};

/// Applies a JSON Patch (an array, RFC 6902) or a merge patch (an object, RFC
/// 7396). Adds a fault for each operation that does not fit; the value is then
/// not usable. Thread safe.
nlohmann::json apply_patch(nlohmann::json const& base,
                           nlohmann::json const& patch,
                           std::vector<fault>& faults);

/// The paths that a patch writes, tests or reads from. Thread safe.
std::vector<std::string> touched_paths(nlohmann::json const& patch);

/// What has to change in `before` to give `after`, in the order of the paths;
/// "/version" is left out. Thread safe.
std::vector<change> changes_between(nlohmann::json const& before,
                                    nlohmann::json const& after);

/// True when a path of one list is, holds, or lies inside a path of the other.
/// Thread safe.
bool overlap(std::vector<std::string> const& paths,
             std::vector<change> const& changes);

} // namespace caperpath::config

#endif
