#ifndef CAPERPATH_CONFIG_PATCH_HPP
#define CAPERPATH_CONFIG_PATCH_HPP

#include <caperpath/config/json_reader.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace caperpath::config
{

/// One difference between two documents. `before` or `after` is JSON text, and
/// is empty if the member did not exist. Immutable value.
struct change
{
    std::string path;
    std::string before;
    std::string after;

    friend bool operator==(change const&, change const&) = default;
};

/// Applies a JSON Patch (an array, RFC 6902) or a merge patch (an object, RFC
/// 7396). Adds a fault for each operation that cannot be applied; the returned
/// value is then unusable. Thread safe.
nlohmann::json apply_patch(nlohmann::json const& base,
                           nlohmann::json const& patch,
                           std::vector<fault>& faults);

/// Returns the paths that a patch writes, tests or reads from. Thread safe.
std::vector<std::string> touched_paths(nlohmann::json const& patch);

/// Returns the changes that turn `before` into `after`, ordered by path;
/// "/version" is left out. Thread safe.
std::vector<change> changes_between(nlohmann::json const& before,
                                    nlohmann::json const& after);

/// True if a path of one list equals, contains or lies inside a path of the
/// other. Thread safe.
bool overlap(std::vector<std::string> const& paths,
             std::vector<change> const& changes);

} // namespace caperpath::config

#endif
