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

/// Which version is in force and where its content is: the row
/// `config/current`. Immutable value.
struct version_pointer
{
    std::uint64_t version{};
    std::string object;          ///< "config/<version>-<SHA-256 of the text>"
    std::uint64_t row_version{}; ///< of `config/current`; 0: none yet

    friend bool operator==(version_pointer const&,
                           version_pointer const&) = default;
};

/// One line of the history: the row `config/version/<version>`, written once.
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

/// A change that an operator wants. Immutable value.
struct patch_request
{
    std::uint64_t base_version{}; ///< what the operator has seen; 0: nothing
    nlohmann::json patch;         ///< array: JSON Patch; object: merge patch
    std::string id;               ///< the operator's; a repeat carries the same
    std::string author;
    instant at; ///< wall time
};

enum class patch_status
{
    accepted,    ///< in force as `version`
    conflict,    ///< another version than the base is in force
    invalid,     ///< `faults` says why; a repeat fails the same way
    unavailable, ///< nothing took effect; a repeat may succeed
    unknown      ///< it may have taken effect; a repeat with the same id tells
};

/// What became of a patch. Immutable value.
struct patch_result
{
    patch_status status{patch_status::unavailable};
    std::uint64_t version{};     ///< the new one, or the one in force
    bool repeated{};             ///< accepted earlier under the same id
    bool same_paths{};           ///< conflict: the patch touches what changed
    std::vector<change> changed; ///< conflict: since the base
    std::vector<fault> faults;
    error problem; ///< step and peer when unavailable or unknown

    friend bool operator==(patch_result const&, patch_result const&) = default;
};

/// One read of the table. `version` 0 when there is no configuration yet.
/// Blocks; thread safe.
result<version_pointer> read_current(store::port const& port);

/// The row by which an operator orders one life of a router to stop serving.
/// Thread safe.
std::string drain_key(incarnation_id const& router);

/// What a router asks the store in each poll. Immutable value.
struct poll_answer
{
    version_pointer current;
    bool drain_ordered{};

    friend bool operator==(poll_answer const&, poll_answer const&) = default;
};

/// Both in one read of the table, so that drains cost no read of their own.
/// Blocks; thread safe.
result<poll_answer> read_poll(store::port const& port,
                              incarnation_id const& router);

/// Orders a drain; it is never taken back, since a replaced router has another
/// incarnation. A repeat is harmless. Blocks; thread safe.
store::commit_result order_drain(store::port const& port,
                                 incarnation_id const& router,
                                 std::string const& author, instant at);

/// The document a pointer names; checks its text against the hash in the name.
/// Blocks; thread safe.
result<document> load_object(store::port const& port,
                             std::string const& object);

/// The document of a text that is said to be the object; checked against the
/// hash in the name. Thread safe.
result<document> read_object(std::string const& object,
                             std::string const& text);

/// The version in force; `not_found` when there is none. Blocks; thread safe.
result<document> load_current(store::port const& port);

/// Any version ever accepted. Blocks; thread safe.
result<document> load_version(store::port const& port, std::uint64_t version);

/// Versions greater than `after`, in order, at most `limit`. Blocks; thread
/// safe.
result<std::vector<version_record>>
list_versions(store::port const& port, std::uint64_t after, std::size_t limit);

/// Numbers the patched base as the next version if the base is in force. The
/// whole document is checked before anything is written. Two patches never get
/// the same number, and a repeat of an accepted id returns the first result.
/// Blocks; thread safe.
patch_result submit_patch(store::port const& port,
                          patch_request const& request);

/// As `submit_patch`, with the content of `older` as the next version.
patch_result roll_forward(store::port const& port, patch_request const& request,
                          std::uint64_t older);

/// Names an existing version so that an experiment can be replayed. A name is
/// never moved: `invalid` when it names another version. Blocks; thread safe.
patch_result name_version(store::port const& port, std::uint64_t version,
                          std::string const& name);

/// The version a name stands for. Blocks; thread safe.
result<std::uint64_t> find_version(store::port const& port,
                                   std::string const& name);

/// The object that holds `text` as `version`. Two operators who race for one
/// number write two objects, so neither overwrites the other's. Thread safe.
std::string object_name(std::uint64_t version, std::string const& text);

} // namespace caperpath::config

#endif
