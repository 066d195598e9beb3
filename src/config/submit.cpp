#include <caperpath/config/codec.hpp>

#include "config/store_rows.hpp"
#include "config/submit.hpp"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

namespace caperpath::config
{

namespace
{

using nlohmann::json;

constexpr std::size_t max_author_length = 128;

// What the table holds on the current version and on the patch's id.
struct table_view
{
    version_pointer current;
    std::optional<patch_record> earlier;
};

using view_or_result = std::variant<table_view, patch_result>;
using prepared_or_result = std::variant<prepared_version, patch_result>;

view_or_result read_view(store::port const& port, patch_request const& request)
{
    auto const key = patch_key(request.id);
    auto const response = value_or_error(
        [&] {
            return read_rows(port, {current_key, key});
        });
    if (auto const* problem = std::get_if<error>(&response))
    {
        return unavailable(*problem);
    }
    auto const& rows = std::get<0>(response);
    table_view view;
    if (auto const* row = find_row(rows, current_key))
    {
        auto const pointer = read_pointer(*row);
        if (!pointer)
        {
            return unavailable({error_kind::internal, "read current version",
                                "table", "config/current is damaged"});
        }
        view.current = *pointer;
    }
    if (auto const* row = find_row(rows, key))
    {
        view.earlier = read_patch_record(*row);
        if (!view.earlier)
        {
            return unavailable({error_kind::internal, "read patch id", "table",
                                key + " is damaged"});
        }
    }
    return view;
}

bool touches(patch_request const& request, std::string const& path)
{
    auto const paths = touched_paths(request.patch);
    return std::find(paths.begin(), paths.end(), path) != paths.end();
}

std::vector<fault> check_request(patch_request const& request)
{
    std::vector<fault> faults;
    if (!is_name(request.id))
    {
        faults.push_back({"/id", "expected 1 to 64 letters, digits, '.', '_' "
                                 "and '-'"});
    }
    if (request.author.size() > max_author_length)
    {
        faults.push_back({"/author", "expected at most 128 bytes"});
    }
    if (touches(request, "/version"))
    {
        faults.push_back({"/version", "the store numbers versions"});
    }
    return faults;
}

prepared_or_result prepare(store::port const& port,
                           patch_request const& request,
                           version_pointer const& base)
{
    auto const loaded =
        value_or_error([&] { return load_json(port, base.version); });
    if (auto const* problem = std::get_if<error>(&loaded))
    {
        return unavailable(*problem);
    }
    std::vector<fault> faults;
    auto value = apply_patch(std::get<0>(loaded), request.patch, faults);
    if (faults.empty() && value.is_object())
    {
        value["version"] = base.version + 1;
        // A name belongs to one version, so a version patched from a named one
        // does not inherit the name.
        if (!touches(request, "/name"))
        {
            value["name"] = "";
        }
    }
    if (!faults.empty())
    {
        return invalid(std::move(faults));
    }
    prepared_version made;
    made.content = parse_document(value, faults);
    if (!faults.empty())
    {
        return invalid(std::move(faults));
    }
    made.base = base;
    made.text = to_json(made.content).dump();
    made.object = object_name(made.version(), made.text);
    made.digest = digest_of(request);
    return made;
}

std::optional<error> put_content(store::port const& port,
                                 prepared_version const& next)
{
    store::commit_result response;
    for (int attempt = 0; attempt < write_attempts; ++attempt)
    {
        response = port.put_object(next.object, next.text);
        if (response.outcome == store::commit_outcome::applied)
        {
            return std::nullopt;
        }
    }
    return response.fault;
}

} // namespace

patch_result submit_patch(store::port const& port, patch_request const& request)
{
    auto faults = check_request(request);
    if (!faults.empty())
    {
        return invalid(std::move(faults));
    }
    auto const seen = read_view(port, request);
    if (auto const* early_result = std::get_if<patch_result>(&seen))
    {
        return *early_result;
    }
    auto const& view = std::get<table_view>(seen);
    if (view.earlier)
    {
        return repeated(request, *view.earlier);
    }
    if (request.base_version > view.current.version)
    {
        return invalid({{"/base_version",
                         "version " + std::to_string(request.base_version) +
                             " does not exist yet"}});
    }
    if (request.base_version != view.current.version)
    {
        return conflict(port, request, view.current);
    }
    auto const made = prepare(port, request, view.current);
    if (auto const* early_result = std::get_if<patch_result>(&made))
    {
        return *early_result;
    }
    auto const& next = std::get<prepared_version>(made);
    if (auto const problem = put_content(port, next))
    {
        return unavailable(*problem);
    }
    return commit_version(port, request, next);
}

patch_result roll_forward(store::port const& port, patch_request const& request,
                          std::uint64_t older)
{
    auto const loaded = value_or_error([&] { return load_json(port, older); });
    if (auto const* problem = std::get_if<error>(&loaded))
    {
        if (problem->kind == error_kind::not_found)
        {
            return invalid({{"/version", problem->detail}});
        }
        return unavailable(*problem);
    }
    auto whole = request;
    whole.patch = json::array(
        {{{"op", "replace"}, {"path", ""}, {"value", std::get<0>(loaded)}}});
    return submit_patch(port, whole);
}

} // namespace caperpath::config
