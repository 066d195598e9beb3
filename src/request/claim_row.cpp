#include <caperpath/request/claim_state.hpp>

#include <nlohmann/json.hpp>

#include <utility>

namespace caperpath::request
{

namespace
{

using nlohmann::json;

constexpr std::pair<claim_state, char const*> state_names[] = {
    {claim_state::claimed, "claimed"},
    {claim_state::done, "done"},
    {claim_state::not_run, "not_run"},
    {claim_state::unknown, "unknown"},
};

std::string name_of(claim_state state)
{
    for (auto const& [value, name] : state_names)
    {
        if (value == state)
        {
            return name;
        }
    }
    return "unknown";
}

claim_state state_of(std::string const& text)
{
    for (auto const& [value, name] : state_names)
    {
        if (text == name)
        {
            return value;
        }
    }
    throw json::other_error::create(0, "unknown claim state " + text, nullptr);
}

// A response may contain any bytes, but a row is JSON text: a body that is not
// UTF-8 is stored as hexadecimal digits, so that a retry gets the same bytes.
constexpr char hex_digits[] = "0123456789abcdef";

std::string to_hex(std::string const& bytes)
{
    std::string text;
    text.reserve(bytes.size() * 2);
    for (unsigned char const byte : bytes)
    {
        text += hex_digits[byte >> 4U];
        text += hex_digits[byte & 0xFU];
    }
    return text;
}

unsigned digit_of(char digit)
{
    auto const found = std::string_view{hex_digits}.find(digit);
    if (found == std::string_view::npos)
    {
        throw json::other_error::create(0, "invalid hexadecimal digit",
                                        nullptr);
    }
    return static_cast<unsigned>(found);
}

std::string from_hex(std::string const& text)
{
    if (text.size() % 2 != 0)
    {
        throw json::other_error::create(0, "odd number of hexadecimal digits",
                                        nullptr);
    }
    std::string bytes;
    bytes.reserve(text.size() / 2);
    for (std::size_t i = 0; i < text.size(); i += 2)
    {
        auto const high = digit_of(text[i]) << 4U;
        bytes += static_cast<char>(high | digit_of(text[i + 1]));
    }
    return bytes;
}

bool is_utf8(std::string const& text)
{
    try
    {
        static_cast<void>(json(text).dump());
        return true;
    }
    catch (json::type_error const&)
    {
        return false;
    }
}

void write_answer(json& object, claim_row const& row)
{
    object["status"] = row.response.status;
    object["content_type"] = row.response.content_type;
    if (is_utf8(row.response.body))
    {
        object["body"] = row.response.body;
    }
    else
    {
        object["body_hex"] = to_hex(row.response.body);
    }
    object["object"] = row.object;
}

void read_response(json const& object, claim_row& row)
{
    row.response.status = object.at("status").get<int>();
    row.response.content_type = object.at("content_type").get<std::string>();
    row.response.body = object.contains("body_hex")
                            ? from_hex(object["body_hex"].get<std::string>())
                            : object.at("body").get<std::string>();
    row.object = object.at("object").get<std::string>();
}

claim_row row_of(json const& object)
{
    claim_row row;
    row.state = state_of(object.at("state").get<std::string>());
    row.epoch = object.at("epoch").get<std::uint64_t>();
    row.holder = {object.at("holder").get<std::string>()};
    row.ticket = object.at("ticket").get<std::string>();
    row.body_hash = object.at("body_hash").get<std::string>();
    row.idempotent = object.at("idempotent").get<bool>();
    row.billed = object.at("billed").get<token_count>();
    row.keep_until = {object.at("keep_until").get<std::int64_t>()};
    if (row.state == claim_state::done)
    {
        read_response(object, row);
    }
    return row;
}

} // namespace

std::string encode(claim_row const& row)
{
    json object{
        {"state", name_of(row.state)}, {"epoch", row.epoch},
        {"holder", row.holder.value},  {"ticket", row.ticket},
        {"body_hash", row.body_hash},  {"idempotent", row.idempotent},
        {"billed", row.billed},        {"keep_until", row.keep_until.ms}};
    if (row.state == claim_state::done)
    {
        write_answer(object, row);
    }
    // The content type comes from the service's header and may hold any bytes.
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<claim_row> decode_claim(std::string const& text)
{
    try
    {
        return row_of(json::parse(text));
    }
    catch (json::exception const& fault)
    {
        return fail(
            {error_kind::invalid, "decode claim", "table", fault.what()});
    }
}

} // namespace caperpath::request
