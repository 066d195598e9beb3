#include <caperpath/config/view.hpp>

#include <algorithm>

namespace caperpath::config
{

namespace
{

std::uint64_t held_version(view const& source)
{
    return source.newest ? source.newest->version : 0;
}

view confirm(view made)
{
    made.confirmed =
        made.confirmed ||
        (made.store_version > 0 && held_version(made) >= made.store_version);
    return made;
}

} // namespace

view with_store_version(view const& before, std::uint64_t version)
{
    // Answers of the store can overtake each other. Taking the later answer
    // for the newer one would let a router that starts serve a version that
    // has been replaced, and an operator would see a change revert.
    return confirm({before.newest, std::max(before.store_version, version),
                    before.confirmed});
}

view with_document(view const& before,
                   std::shared_ptr<document const> const& offered)
{
    if (offered->version <= held_version(before))
    {
        return before;
    }
    return confirm({offered, before.store_version, before.confirmed});
}

std::shared_ptr<document const> in_force(view const& source)
{
    // A router that has started can only compare with what the store names.
    // Until it has heard the store once, or while it has not loaded what the
    // store named then, another router may already serve something newer: a
    // customer whose key was withdrawn would be let in here again. A router
    // that has served keeps what it serves while a newer one is loading.
    return source.confirmed ? source.newest : nullptr;
}

std::uint64_t lag(view const& source)
{
    auto const held = held_version(source);
    return source.store_version > held ? source.store_version - held : 0;
}

} // namespace caperpath::config
