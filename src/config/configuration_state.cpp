#include <caperpath/config/configuration_state.hpp>

#include <algorithm>

namespace caperpath::config
{

namespace
{

std::uint64_t held_version(configuration_state const& source)
{
    return source.newest ? source.newest->version : 0;
}

configuration_state confirm(configuration_state made)
{
    made.confirmed =
        made.confirmed ||
        (made.store_version > 0 && held_version(made) >= made.store_version);
    return made;
}

} // namespace

configuration_state with_store_version(configuration_state const& before,
                                       std::uint64_t version)
{
    // Responses of the store can overtake each other. If the latest response
    // always won, a starting router could serve a replaced version and an
    // operator would see a change revert.
    return confirm({before.newest, std::max(before.store_version, version),
                    before.confirmed});
}

configuration_state
with_document(configuration_state const& before,
              std::shared_ptr<document const> const& offered)
{
    if (offered->version <= held_version(before))
    {
        return before;
    }
    return confirm({offered, before.store_version, before.confirmed});
}

std::shared_ptr<document const>
document_in_force(configuration_state const& source)
{
    // A starting router can only compare with what the store reports. Until the
    // store has responded once and the reported version is loaded, another
    // router may already serve a newer one, and this router would admit a
    // customer whose key was revoked. A router that has served before keeps
    // serving its version while a newer one is loading.
    return source.confirmed ? source.newest : nullptr;
}

std::uint64_t version_lag(configuration_state const& source)
{
    auto const held = held_version(source);
    return source.store_version > held ? source.store_version - held : 0;
}

} // namespace caperpath::config
