#include <caperpath/platform/wire.hpp>

#include "platform/wire_json.hpp"

#include <array>
#include <cctype>
#include <limits>
#include <utility>

namespace caperpath::platform::wire
{

namespace
{

using config::json_reader;
using nlohmann::json;
using faults_found = std::vector<config::fault>;

constexpr std::int64_t max_version = std::numeric_limits<std::int64_t>::max();

// Kinds that a refusal can have; `timeout` and `internal` say nothing of the
// effect and stay out.
constexpr std::array refusal_kinds{error_kind::invalid, error_kind::not_found,
                                   error_kind::conflict, error_kind::refused,
                                   error_kind::unavailable};

error invalid(std::string step, std::string detail)
{
    return {error_kind::invalid, std::move(step), "", std::move(detail)};
}

result<std::string> dump_request(json const& value)
{
    try
    {
        return value.dump();
    }
    catch (json::type_error const&)
    {
        return fail(invalid("encode", "a text is not UTF-8"));
    }
}

std::string dump_answer(json const& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

template <class Value>
result<Value> decode(std::string const& body,
                     Value (*read)(json const&, faults_found&))
{
    auto const value = json::parse(body, nullptr, false);
    if (value.is_discarded())
    {
        return fail(invalid("decode", "the body is not JSON"));
    }
    faults_found faults;
    auto decoded = read(value, faults);
    if (!faults.empty())
    {
        auto const& first = faults.front();
        return fail(invalid("decode", first.path + ": " + first.detail));
    }
    return decoded;
}

std::uint64_t read_version(json_reader& reader)
{
    return static_cast<std::uint64_t>(
        reader.whole("version", "writes", 0, max_version));
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

condition read_condition(json const& value, std::string const& path,
                         faults_found& faults)
{
    json_reader reader{value, path, faults};
    condition wanted;
    wanted.key = reader.text("key");
    wanted.version = read_version(reader);
    reader.finish();
    return wanted;
}

json to_json(row_write const& write)
{
    json made{{"key", write.key}};
    if (write.value)
    {
        made["value"] = *write.value;
    }
    else
    {
        made["delete"] = true;
    }
    return made;
}

row_write read_write(json const& value, std::string const& path,
                     faults_found& faults)
{
    json_reader reader{value, path, faults};
    row_write write;
    write.key = reader.text("key");
    // A deletion is said in so many words: were it a missing value, a value
    // lost on the way would delete the row.
    if (reader.boolean_or("delete", false))
    {
        reader.finish();
        return write;
    }
    write.value = reader.text("value");
    reader.finish();
    return write;
}

transaction read_transaction(json const& value, faults_found& faults)
{
    json_reader reader{value, "", faults};
    transaction txn;
    reader.each_element(
        "conditions", [&](json const& inner, std::string const& path)
        { txn.conditions.push_back(read_condition(inner, path, faults)); });
    reader.each_element(
        "writes", [&](json const& inner, std::string const& path)
        { txn.writes.push_back(read_write(inner, path, faults)); });
    reader.finish();
    return txn;
}

std::vector<std::string> read_keys(json const& value, faults_found& faults)
{
    json_reader reader{value, "", faults};
    std::vector<std::string> keys;
    reader.each_element("keys",
                        [&](json const& inner, std::string const& path)
                        {
                            if (!inner.is_string())
                            {
                                faults.push_back({path, "expected text"});
                                return;
                            }
                            keys.push_back(inner.get<std::string>());
                        });
    if (keys.size() > max_read_keys)
    {
        reader.reject("keys", "expected at most " +
                                  std::to_string(max_read_keys) + " keys");
    }
    reader.finish();
    return keys;
}

scan_request read_scan(json const& value, faults_found& faults)
{
    json_reader reader{value, "", faults};
    scan_request wanted;
    wanted.prefix = reader.text("prefix");
    wanted.after = reader.text("after");
    wanted.limit = static_cast<std::size_t>(
        reader.whole("limit", "rows", 0, max_scan_rows));
    reader.finish();
    return wanted;
}

std::vector<row> read_rows(json_reader& reader, char const* key,
                           faults_found& faults)
{
    std::vector<row> rows;
    reader.each_element(key, [&](json const& inner, std::string const& path)
                        { rows.push_back(read_row(inner, path, faults)); });
    return rows;
}

std::vector<row> read_rows_answer(json const& value, faults_found& faults)
{
    json_reader reader{value, "", faults};
    if (!reader.has("rows"))
    {
        reader.reject("rows", "expected an array");
    }
    return read_rows(reader, "rows", faults);
}

refusal read_refusal(json const& value, faults_found& faults)
{
    json_reader reader{value, "", faults};
    refusal why;
    if (reader.text("effect") != "none")
    {
        reader.reject("effect", "expected \"none\"");
    }
    auto const name = reader.text("kind");
    bool known = false;
    for (auto const kind : refusal_kinds)
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

bool stays_plain(char letter)
{
    static std::string const plain{"-._~/"};
    return std::isalnum(static_cast<unsigned char>(letter)) != 0 ||
           plain.find(letter) != std::string::npos;
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

result<std::string> encode(transaction const& txn)
{
    json made{{"conditions", json::array()}, {"writes", json::array()}};
    for (auto const& wanted : txn.conditions)
    {
        made["conditions"].push_back(
            {{"key", wanted.key}, {"version", wanted.version}});
    }
    for (auto const& write : txn.writes)
    {
        made["writes"].push_back(to_json(write));
    }
    return dump_request(made);
}

result<transaction> decode_transaction(std::string const& body)
{
    return decode(body, read_transaction);
}

result<std::string> encode_keys(std::vector<std::string> const& keys)
{
    return dump_request({{"keys", keys}});
}

result<std::vector<std::string>> decode_keys(std::string const& body)
{
    return decode(body, read_keys);
}

result<std::string> encode(scan_request const& wanted)
{
    return dump_request({{"prefix", wanted.prefix},
                         {"after", wanted.after},
                         {"limit", wanted.limit}});
}

result<scan_request> decode_scan(std::string const& body)
{
    return decode(body, read_scan);
}

std::string encode_rows(std::vector<row> const& rows)
{
    return dump_answer({{"rows", to_json(rows)}});
}

result<std::vector<row>> decode_rows(std::string const& body)
{
    return decode(body, read_rows_answer);
}

std::string encode_applied()
{
    return R"({"outcome":"applied"})";
}

bool is_applied(std::string const& body)
{
    return body == encode_applied();
}

std::string encode(refusal const& why)
{
    return dump_answer({{"effect", "none"},
                        {"kind", to_string(why.kind)},
                        {"detail", why.detail},
                        {"failed", to_json(why.failed)}});
}

result<refusal> decode_refusal(std::string const& body)
{
    return decode(body, read_refusal);
}

std::string encode_vms(std::vector<listed_vm> const& vms)
{
    auto list = json::array();
    for (auto const& listed : vms)
    {
        list.push_back(to_json(listed));
    }
    return dump_answer({{"vms", list}});
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

std::string object_path(std::string const& name)
{
    constexpr char digits[] = "0123456789ABCDEF";
    std::string path{objects_path};
    for (auto const letter : name)
    {
        if (stays_plain(letter))
        {
            path += letter;
            continue;
        }
        auto const byte = static_cast<unsigned char>(letter);
        path += '%';
        path += digits[byte / 16];
        path += digits[byte % 16];
    }
    return path;
}

} // namespace caperpath::platform::wire
