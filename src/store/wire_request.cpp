#include <caperpath/store/wire.hpp>

#include "store/wire_json.hpp"

#include <cctype>
#include <limits>

namespace caperpath::store::wire
{

namespace
{

using config::json_reader;
using nlohmann::json;
using faults_found = std::vector<config::fault>;

constexpr std::int64_t max_version = std::numeric_limits<std::int64_t>::max();

result<std::string> dump_request(json const& value)
{
    try
    {
        return value.dump();
    }
    catch (json::type_error const&)
    {
        return fail({error_kind::invalid, "encode", "", "a text is not UTF-8"});
    }
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
    // A deletion is explicit: if a missing value meant deletion, a value lost
    // in transit would delete the row.
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
        reader.integer("limit", "rows", 0, max_scan_rows));
    reader.finish();
    return wanted;
}

bool is_unreserved(char letter)
{
    static std::string const plain{"-._~/"};
    return std::isalnum(static_cast<unsigned char>(letter)) != 0 ||
           plain.find(letter) != std::string::npos;
}

} // namespace

std::uint64_t read_version(config::json_reader& reader)
{
    return static_cast<std::uint64_t>(
        reader.integer("version", "writes", 0, max_version));
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

std::string object_path(std::string const& name)
{
    constexpr char digits[] = "0123456789ABCDEF";
    std::string path{objects_path};
    for (auto const letter : name)
    {
        if (is_unreserved(letter))
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

} // namespace caperpath::store::wire
