#include <caperpath/config/patch.hpp>

#include <algorithm>

namespace caperpath::config
{

namespace
{

using nlohmann::json;

std::string member_text(json const& value, std::string const& key)
{
    auto const member = value.find(key);
    return member != value.end() && member->is_string()
               ? member->get<std::string>()
               : std::string{};
}

// The library asserts that the parent of a path is an object or an array. With
// assertions, a mistyped path would end the program; without them the operation
// would silently do nothing.
void check_parent(json const& base, json const& operation)
{
    auto const path = json::json_pointer{member_text(operation, "path")};
    auto const kind = member_text(operation, "op");
    if (path.empty() || kind == "test")
    {
        return;
    }
    auto const& parent = base.at(path.parent_pointer());
    if (!parent.is_structured())
    {
        throw std::invalid_argument{path.parent_pointer().to_string() +
                                    " has no members"};
    }
}

json apply_operations(json base, json const& patch, std::vector<fault>& faults)
{
    for (std::size_t i = 0; i < patch.size(); ++i)
    {
        try
        {
            check_parent(base, patch[i]);
            base = base.patch(json::array({patch[i]}));
        }
        catch (std::exception const& problem)
        {
            faults.push_back({"/patch/" + std::to_string(i), problem.what()});
        }
    }
    return base;
}

std::string escaped(std::string const& name)
{
    return (json::json_pointer{} / name).to_string();
}

void add_merge_paths(json const& patch, std::string const& path,
                     std::vector<std::string>& paths)
{
    if (!patch.is_object() || patch.empty())
    {
        paths.push_back(path);
        return;
    }
    for (auto const& [name, value] : patch.items())
    {
        add_merge_paths(value, path + escaped(name), paths);
    }
}

void add_changes(json const* before, json const* after, std::string const& path,
                 std::vector<change>& found)
{
    auto const has_members = [](json const* value)
    {
        return value != nullptr && value->is_object();
    };
    if (!has_members(before) || !has_members(after))
    {
        found.push_back({path, before == nullptr ? "" : before->dump(),
                         after == nullptr ? "" : after->dump()});
        return;
    }
    json names = *before;
    names.update(*after);
    for (auto const& [name, ignored] : names.items())
    {
        auto const old = before->find(name);
        auto const now = after->find(name);
        auto const existed = old != before->end();
        auto const exists = now != after->end();
        if (existed && exists && *old == *now)
        {
            continue;
        }
        add_changes(existed ? &*old : nullptr, exists ? &*now : nullptr,
                    path + escaped(name), found);
    }
}

bool contains_path(std::string const& outer, std::string const& inner)
{
    return inner.starts_with(outer) &&
           (inner.size() == outer.size() || inner[outer.size()] == '/');
}

} // namespace

json apply_patch(json const& base, json const& patch,
                 std::vector<fault>& faults)
{
    if (patch.is_array())
    {
        return apply_operations(base, patch, faults);
    }
    if (!patch.is_object())
    {
        faults.push_back({"/patch", "expected an object (merge patch) or an "
                                    "array (JSON Patch)"});
        return base;
    }
    json made = base;
    made.merge_patch(patch);
    return made;
}

std::vector<std::string> touched_paths(json const& patch)
{
    std::vector<std::string> paths;
    if (!patch.is_array())
    {
        add_merge_paths(patch, "", paths);
        return paths;
    }
    for (auto const& operation : patch)
    {
        paths.push_back(member_text(operation, "path"));
        if (operation.contains("from"))
        {
            paths.push_back(member_text(operation, "from"));
        }
    }
    return paths;
}

std::vector<change> changes_between(json const& before, json const& after)
{
    std::vector<change> found;
    if (before != after)
    {
        add_changes(&before, &after, "", found);
    }
    std::erase_if(found,
                  [](change const& one) { return one.path == "/version"; });
    return found;
}

bool overlap(std::vector<std::string> const& paths,
             std::vector<change> const& changes)
{
    return std::any_of(paths.begin(), paths.end(),
                       [&](std::string const& path)
                       {
                           return std::any_of(
                               changes.begin(), changes.end(),
                               [&](change const& one) {
                                   return contains_path(path, one.path) ||
                                          contains_path(one.path, path);
                               });
                       });
}

} // namespace caperpath::config
