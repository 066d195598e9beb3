#include <caperpath/config/store.hpp>

#include <caperpath/config/codec.hpp>
#include <caperpath/config/keys.hpp>

#include "config/sha256.hpp"
#include "config/store_rows.hpp"

#include <variant>

namespace caperpath::config
{

namespace
{

error damaged(std::string const& step, std::string const& key)
{
    return {error_kind::internal, step, "table",
            "the row " + key + " is not one that caperpath wrote"};
}

error no_version(std::uint64_t version)
{
    return {error_kind::not_found, "load version", "table",
            "there is no version " + std::to_string(version)};
}

} // namespace

std::string object_name(std::uint64_t version, std::string const& text)
{
    return "config/" + std::to_string(version) + "-" + to_hex(sha256(text));
}

std::string drain_key(incarnation_id const& router)
{
    return "drain/" + router.value;
}

result<poll_response> read_poll(store::port const& port,
                                incarnation_id const& router)
{
    auto const drain = drain_key(router);
    BOOST_LEAF_AUTO(rows, read_rows(port, {current_key, drain}));
    poll_response made;
    made.drain_commanded = find_row(rows, drain) != nullptr;
    auto const* row = find_row(rows, current_key);
    if (row == nullptr)
    {
        return made;
    }
    auto const pointer = read_pointer(*row);
    if (!pointer)
    {
        return fail(damaged("read current version", current_key));
    }
    made.current = *pointer;
    return made;
}

result<version_pointer> read_current(store::port const& port)
{
    auto const response = value_or_error([&] { return read_poll(port, {}); });
    if (auto const* problem = std::get_if<error>(&response))
    {
        return fail(*problem);
    }
    return std::get<poll_response>(response).current;
}

store::commit_result command_drain(store::port const& port,
                                   incarnation_id const& router,
                                   std::string const& author, instant at)
{
    auto const value =
        nlohmann::json{{"author", author}, {"at_ms", at.ms}}.dump();
    return port.commit({{}, {{drain_key(router), value}}});
}

result<document> load_object(store::port const& port, std::string const& object)
{
    BOOST_LEAF_AUTO(text, port.get_object(object));
    return read_object(object, text);
}

result<document> read_object(std::string const& object, std::string const& text)
{
    // A truncated text may still be valid JSON with another meaning, for
    // example without its last customers, who would be rejected. The hash in
    // the name detects this.
    if (!object.ends_with("-" + to_hex(sha256(text))))
    {
        return fail({error_kind::unavailable, "load configuration",
                     "object store", object + " arrived damaged"});
    }
    std::vector<fault> faults;
    auto const value = parse_text(text, faults);
    auto made = parse_document(value, faults);
    if (!faults.empty())
    {
        return fail(
            {error_kind::invalid, "load configuration", "object store",
             object + faults.front().path + ": " + faults.front().detail});
    }
    return made;
}

result<document> load_current(store::port const& port)
{
    auto const response = value_or_error([&] { return read_current(port); });
    if (auto const* problem = std::get_if<error>(&response))
    {
        return fail(*problem);
    }
    auto const& pointer = std::get<version_pointer>(response);
    if (pointer.version == 0)
    {
        return fail({error_kind::not_found, "load configuration", "table",
                     "there is no version yet"});
    }
    return load_object(port, pointer.object);
}

result<document> load_version(store::port const& port, std::uint64_t version)
{
    auto const key = version_key(version);
    BOOST_LEAF_AUTO(rows, read_rows(port, {key}));
    auto const* row = find_row(rows, key);
    if (row == nullptr)
    {
        return fail(no_version(version));
    }
    auto const record = read_record(*row);
    if (!record)
    {
        return fail(damaged("load version", key));
    }
    return load_object(port, record->object);
}

result<std::vector<version_record>>
list_versions(store::port const& port, std::uint64_t after, std::size_t limit)
{
    BOOST_LEAF_AUTO(rows, port.scan(version_prefix, version_key(after), limit));
    std::vector<version_record> records;
    for (auto const& row : rows)
    {
        auto const record = read_record(row);
        if (!record)
        {
            return fail(damaged("list versions", row.key));
        }
        records.push_back(*record);
    }
    return records;
}

result<std::uint64_t> find_version(store::port const& port,
                                   std::string const& name)
{
    auto const key = name_key(name);
    BOOST_LEAF_AUTO(rows, read_rows(port, {key}));
    auto const* row = find_row(rows, key);
    if (row == nullptr)
    {
        return fail({error_kind::not_found, "find version", "table",
                     "no version is named " + name});
    }
    auto const version = read_named(*row);
    if (!version)
    {
        return fail(damaged("find version", key));
    }
    return *version;
}

patch_result name_version(store::port const& port, std::uint64_t version,
                          std::string const& name)
{
    patch_result outcome;
    outcome.version = version;
    if (!is_name(name))
    {
        outcome.status = patch_status::invalid;
        outcome.faults.push_back({"/name", "expected 1 to 64 letters, digits, "
                                           "'.', '_' and '-'"});
        return outcome;
    }
    auto const record_key = version_key(version);
    // Version records are written once, so the row's version is always 1.
    auto const response =
        port.commit({{{record_key, 1}, {name_key(name), 0}},
                     {{name_key(name), write_named(version)}}});
    if (response.outcome == store::commit_outcome::applied)
    {
        outcome.status = patch_status::accepted;
        return outcome;
    }
    outcome.problem = response.fault;
    auto const found = value_or_error([&] { return find_version(port, name); });
    if (auto const* owner = std::get_if<0>(&found))
    {
        outcome.already_accepted = *owner == version;
        outcome.status = outcome.already_accepted ? patch_status::accepted
                                                  : patch_status::invalid;
        if (!outcome.already_accepted)
        {
            outcome.faults.push_back(
                {"/name",
                 name + " already names version " + std::to_string(*owner)});
        }
        return outcome;
    }
    if (response.outcome == store::commit_outcome::unknown)
    {
        outcome.status = patch_status::unknown;
        return outcome;
    }
    if (find_row(response.failed, record_key) != nullptr)
    {
        outcome.status = patch_status::invalid;
        outcome.faults.push_back({"/version", no_version(version).detail});
    }
    return outcome;
}

} // namespace caperpath::config
