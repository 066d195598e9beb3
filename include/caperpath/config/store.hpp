#ifndef CAPERPATH_CONFIG_STORE_HPP
#define CAPERPATH_CONFIG_STORE_HPP

#include <caperpath/base/id.hpp>
#include <caperpath/config/document.hpp>
#include <caperpath/config/json_reader.hpp>
#include <caperpath/config/patch.hpp>
#include <caperpath/store/table.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace caperpath::config
{

/// The row `config/current`: the version in force and the object with its
/// content. Immutable value.
struct version_pointer
{
    std::uint64_t version{};
    std::string object;          ///< "config/<version>-<SHA-256 of the text>"
    std::uint64_t row_version{}; ///< of `config/current`; 0: no such row yet

    friend bool operator==(version_pointer const&,
                           version_pointer const&) = default;
};

/// The row `config/version/<version>`: one entry of the history, written once.
/// Immutable value.
struct version_record
{
    std::uint64_t version{};
    std::string object;
    std::string patch_id;
    std::string author;
    std::string name; ///< may be empty
    instant at;       ///< wall time of the author's machine

    friend bool operator==(version_record const&,
                           version_record const&) = default;
};

/// A change requested by an operator. Immutable value.
struct patch_request
{
    std::uint64_t
        base_version{};   ///< version that the operator has read; 0: none
    nlohmann::json patch; ///< array: JSON Patch; object: merge patch
    std::string id;       ///< chosen by the operator; a retry has the same id
    std::string author;
    instant at; ///< wall time
};

enum class patch_status
{
    accepted,    ///< in force as `version`
    conflict,    ///< a version other than the base is in force
    invalid,     ///< `faults` says why; a retry fails the same way
    unavailable, ///< nothing took effect; a retry may succeed
    unknown      ///< may have taken effect; a retry with the same id finds out
};

/// The result of submitting a patch. Immutable value.
struct patch_result
{
    patch_status status{patch_status::unavailable};
    std::uint64_t version{};     ///< the new version, or the version in force
    bool already_accepted{};     ///< accepted earlier under the same id
    bool paths_overlap{};        ///< conflict: the patch touches changed paths
    std::vector<change> changed; ///< conflict: changes since the base
    std::vector<fault> faults;
    error problem; ///< step and peer if unavailable or unknown

    friend bool operator==(patch_result const&, patch_result const&) = default;
};

/// Reads the row `config/current` in one read of the table. `version` is 0 if
/// there is no configuration yet. Blocks; thread safe.
result<version_pointer> read_current(store::port const& port);

/// Returns the key of the row by which an operator commands one incarnation of
/// a router to drain. Thread safe.
std::string drain_key(incarnation_id const& router);

/// The result of one poll of the store by a router. Immutable value.
struct poll_response
{
    version_pointer current;
    bool drain_commanded{};

    friend bool operator==(poll_response const&,
                           poll_response const&) = default;
};

/// Reads the current version and the drain row in one read of the table, so
/// that drain commands cost no extra read. Blocks; thread safe.
result<poll_response> read_poll(store::port const& port,
                                incarnation_id const& router);

/// Commands a router to drain. A drain is never revoked, since a replaced
/// router has another incarnation; a retry is harmless. Blocks; thread safe.
store::commit_result command_drain(store::port const& port,
                                   incarnation_id const& router,
                                   std::string const& author, instant at);

/// Loads the object that a pointer names and checks its text against the hash
/// in its name. Blocks; thread safe.
result<document> load_object(store::port const& port,
                             std::string const& object);

/// Parses `text` as the content of `object` and checks it against the hash in
/// the name. Thread safe.
result<document> read_object(std::string const& object,
                             std::string const& text);

/// Loads the version in force; fails with `not_found` if there is none. Blocks;
/// thread safe.
result<document> load_current(store::port const& port);

/// Loads any version that was ever accepted. Blocks; thread safe.
result<document> load_version(store::port const& port, std::uint64_t version);

/// Returns the versions greater than `after` in ascending order, at most
/// `limit`. Blocks; thread safe.
result<std::vector<version_record>>
list_versions(store::port const& port, std::uint64_t after, std::size_t limit);

/// Makes the patched base the next version if the base is in force. Checks the
/// whole document before it writes anything. Two patches never get the same
/// version number, and a retry of an accepted id returns the first result.
/// Blocks; thread safe.
patch_result submit_patch(store::port const& port,
                          patch_request const& request);

/// As `submit_patch`, but the next version gets the content of `older`.
patch_result roll_forward(store::port const& port, patch_request const& request,
                          std::uint64_t older);

/// Names an existing version so that an experiment can be replayed. A name is
/// never moved: the result is `invalid` if it already names another version.
/// Blocks; thread safe.
patch_result name_version(store::port const& port, std::uint64_t version,
                          std::string const& name);

/// Returns the version that has a name. Blocks; thread safe.
result<std::uint64_t> find_version(store::port const& port,
                                   std::string const& name);

/// Returns the name of the object that holds `text` as `version`. The name
/// contains a hash of the text, so two operators who race for one version
/// number never overwrite each other's object. Thread safe.
std::string object_name(std::uint64_t version, std::string const& text);

} // namespace caperpath::config

#endif
