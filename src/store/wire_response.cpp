#include <caperpath/store/wire.hpp>

#include "store/wire_json.hpp"

#include <array>

namespace caperpath::store::wire
{

namespace
{

using config::json_reader;
using nlohmann::json;
using faults_found = std::vector<config::fault>;

// The error kinds of a rejection; `timeout` and `internal` do not state whether
// the call had an effect.
constexpr std::array rejection_kinds{error_kind::invalid, error_kind::not_found,
                                     error_kind::conflict, error_kind::refused,
                                     error_kind::unavailable};

std::string dump_response(json const& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json to_json(row const& found)
{
    return {
        {"key", found.key}, {"version", found.version}, {"value", found.value}};
}

json to_json(std::vector<row> const& rows)
{
    auto list = json::array();
    for (auto const& found : rows)
    {
        list.push_back(to_json(found));
    }
    return list;
}

row read_row(json const& value, std::string const& path, faults_found& faults)
{
    json_reader reader{value, path, faults};
    row found;
    found.key = reader.text("key");
    found.version = read_version(reader);
    found.value = reader.text("value");
    reader.finish();
    return found;
}

std::vector<row> read_rows(json_reader& reader, char const* key,
                           faults_found& faults)
{
    std::vector<row> rows;
    reader.each_element(key, [&](json const& inner, std::string const& path)
                        { rows.push_back(read_row(inner, path, faults)); });
    return rows;
}

std::vector<row> read_rows_response(json const& value, faults_found& faults)
{
    json_reader reader{value, "", faults};
    if (!reader.has("rows"))
    {
        reader.reject("rows", "expected an array");
    }
    return read_rows(reader, "rows", faults);
}

rejection read_rejection(json const& value, faults_found& faults)
{
    json_reader reader{value, "", faults};
    rejection why;
    if (reader.text("effect") != "none")
    {
        reader.reject("effect", "expected \"none\"");
    }
    auto const name = reader.text("kind");
    bool known = false;
    for (auto const kind : rejection_kinds)
    {
        if (to_string(kind) == name)
        {
            why.kind = kind;
            known = true;
        }
    }
    if (!known)
    {
        reader.reject("kind", "expected the kind of a refusal");
    }
    why.detail = reader.text("detail");
    why.failed = read_rows(reader, "failed", faults);
    return why;
}

json to_json(listed_vm const& listed)
{
    return {{"vm", listed.vm},
            {"incarnation", listed.incarnation},
            {"address", listed.address},
            {"failure_domain", listed.failure_domain},
            {"state", listed.state}};
}

std::vector<listed_vm> read_vms(json const& value, faults_found& faults)
{
    json_reader reader{value, "", faults};
    std::vector<listed_vm> vms;
    if (!reader.has("vms"))
    {
        reader.reject("vms", "expected an array");
    }
    reader.each_element("vms", [&](json const& inner, std::string const& path)
                        { vms.push_back(read_vm(inner, path, faults)); });
    return vms;
}

} // namespace

listed_vm read_vm(json const& value, std::string const& path,
                  faults_found& faults)
{
    json_reader reader{value, path, faults};
    listed_vm listed;
    listed.vm = reader.text("vm");
    listed.incarnation = reader.text("incarnation");
    listed.address = reader.address("address");
    listed.failure_domain = reader.text("failure_domain");
    listed.state = reader.text("state", "live");
    if (listed.state != "live" && listed.state != "leaving")
    {
        reader.reject("state", "expected \"live\" or \"leaving\"");
    }
    reader.finish();
    return listed;
}

std::string encode_rows(std::vector<row> const& rows)
{
    return dump_response({{"rows", to_json(rows)}});
}

result<std::vector<row>> decode_rows(std::string const& body)
{
    return decode(body, read_rows_response);
}

std::string encode_applied()
{
    return R"({"outcome":"applied"})";
}

bool is_applied(std::string const& body)
{
    return body == encode_applied();
}

std::string encode(rejection const& why)
{
    return dump_response({{"effect", "none"},
                          {"kind", to_string(why.kind)},
                          {"detail", why.detail},
                          {"failed", to_json(why.failed)}});
}

result<rejection> decode_rejection(std::string const& body)
{
    return decode(body, read_rejection);
}

std::string encode_vms(std::vector<listed_vm> const& vms)
{
    auto list = json::array();
    for (auto const& listed : vms)
    {
        list.push_back(to_json(listed));
    }
    return dump_response({{"vms", list}});
}

result<std::vector<listed_vm>> decode_vms(std::string const& body)
{
    return decode(body, read_vms);
}

result<listed_vm> decode_vm(std::string const& body)
{
    return decode<listed_vm>(body, [](json const& value, faults_found& faults)
                             { return read_vm(value, "", faults); });
}

} // namespace caperpath::store::wire
