#include "config/store_rows.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <variant>

namespace caperpath::config
{

namespace
{

using nlohmann::json;

constexpr int version_digits = 12;
constexpr int read_attempts = 3;

// Returns `read` of the row's JSON, or nothing if a member is missing or has
// another type, so that a malformed row never ends a router.
template <class Read>
auto read_value(store::row const& source, Read read)
    -> std::optional<decltype(read(json{}))>
{
    try
    {
        return read(json::parse(source.value));
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
}

} // namespace

std::string version_key(std::uint64_t version)
{
    std::ostringstream key;
    key << version_prefix << std::setw(version_digits) << std::setfill('0')
        << version;
    return key.str();
}

std::string patch_key(std::string const& id)
{
    return "config/patch/" + id;
}

std::string name_key(std::string const& name)
{
    return "config/name/" + name;
}

std::string write_pointer(version_pointer const& source)
{
    return json{{"version", source.version}, {"object", source.object}}.dump();
}

std::string write_record(version_record const& source)
{
    return json{{"version", source.version},   {"object", source.object},
                {"patch_id", source.patch_id}, {"author", source.author},
                {"name", source.name},         {"at_ms", source.at.ms}}
        .dump();
}

std::string write_patch_record(patch_record const& source)
{
    return json{{"version", source.version}, {"digest", source.digest}}.dump();
}

std::string write_named(std::uint64_t version)
{
    return json{{"version", version}}.dump();
}

std::optional<version_pointer> read_pointer(store::row const& source)
{
    return read_value(source,
                      [&](json const& value)
                      {
                          return version_pointer{value.at("version"),
                                                 value.at("object"),
                                                 source.version};
                      });
}

std::optional<version_record> read_record(store::row const& source)
{
    return read_value(source,
                      [](json const& value)
                      {
                          return version_record{
                              value.at("version"),  value.at("object"),
                              value.at("patch_id"), value.at("author"),
                              value.at("name"),     {value.at("at_ms")}};
                      });
}

std::optional<patch_record> read_patch_record(store::row const& source)
{
    return read_value(
        source,
        [](json const& value) {
            return patch_record{value.at("version"), value.at("digest")};
        });
}

std::optional<std::uint64_t> read_named(store::row const& source)
{
    return read_value(source, [](json const& value)
                      { return value.at("version").get<std::uint64_t>(); });
}

store::row const* find_row(std::vector<store::row> const& rows,
                           std::string const& key)
{
    auto const found =
        std::find_if(rows.begin(), rows.end(),
                     [&](store::row const& one) { return one.key == key; });
    return found == rows.end() ? nullptr : &*found;
}

result<std::vector<store::row>> read_rows(store::port const& port,
                                          std::vector<std::string> const& keys)
{
    error last;
    for (int attempt = 0; attempt < read_attempts; ++attempt)
    {
        auto const response = value_or_error([&] { return port.read(keys); });
        if (auto const* rows = std::get_if<0>(&response))
        {
            return *rows;
        }
        last = std::get<error>(response);
    }
    return fail(last);
}

} // namespace caperpath::config
