#ifndef CAPERPATH_SRC_CONFIG_SUBMIT_HPP
#define CAPERPATH_SRC_CONFIG_SUBMIT_HPP

#include <caperpath/config/store.hpp>

#include "config/store_rows.hpp"

#include <string>
#include <vector>

namespace caperpath::config
{

/// How often a write is sent when its answer is lost or it is turned away.
inline constexpr int write_attempts = 5;

/// A version that has been checked and only waits for its number.
struct prepared_version
{
    version_pointer base;
    document content;
    std::string text;
    std::string object;
    std::string digest;

    std::uint64_t version() const
    {
        return this->content.version;
    }
};

/// Tells a repeat from another patch under a used id. The base does not count:
/// who repeats a command may by then see a newer version.
std::string digest_of(patch_request const& request);

patch_result unavailable(error problem);
patch_result invalid(std::vector<fault> faults);

/// The result of a patch whose id was accepted before.
patch_result repeated(patch_request const& request,
                      patch_record const& earlier);

/// The canonical JSON of a version; of an empty document for version 0.
result<nlohmann::json> load_json(store::port const& port,
                                 std::uint64_t version);

/// `current` is in force and the request has another base.
patch_result conflict(store::port const& port, patch_request const& request,
                      version_pointer const& current);

/// Writes pointer, record, patch id and name in one transaction.
/// @pre the object of `next` is in the store.
patch_result commit_version(store::port const& port,
                            patch_request const& request,
                            prepared_version const& next);

} // namespace caperpath::config

#endif
