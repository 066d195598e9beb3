#include <caperpath/request/chat_request.hpp>

#include <caperpath/base/http_status.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace caperpath::request
{

namespace
{

using nlohmann::json;

// Allowance for the tokens of a message's role and separators.
constexpr std::int64_t bytes_per_message_overhead = 16;

// Deeper than any client nests. The parser recurses once per level, so a body
// of 4 MB of '[' would otherwise overflow the thread's stack and crash the
// process with all its open streams.
constexpr int max_json_depth = 64;

bool exceeds_max_depth(std::string_view body)
{
    int depth = 0;
    bool in_string = false;
    bool escaped = false;
    for (char const c : body)
    {
        if (in_string)
        {
            in_string = escaped || c != '"';
            escaped = !escaped && c == '\\';
            continue;
        }
        in_string = c == '"';
        depth += (c == '[' || c == '{') ? 1 : 0;
        depth -= (c == ']' || c == '}') ? 1 : 0;
        if (depth > max_json_depth)
        {
            return true;
        }
    }
    return false;
}

// Returns the size of a message's text, which is a string or an array of
// {"type":"text","text":...}; empty for anything else.
std::optional<std::int64_t> content_bytes(json const& content)
{
    if (content.is_string())
    {
        return static_cast<std::int64_t>(
            content.get_ref<std::string const&>().size());
    }
    if (!content.is_array())
    {
        return std::nullopt;
    }
    std::int64_t bytes = 0;
    for (auto const& part : content)
    {
        bool const is_text = part.is_object() && part.contains("text") &&
                             part["text"].is_string();
        if (!is_text)
        {
            return std::nullopt;
        }
        bytes += static_cast<std::int64_t>(
            part["text"].get_ref<std::string const&>().size());
    }
    return bytes;
}

std::variant<std::int64_t, rejection> prompt_bytes(json const& body)
{
    auto const messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty())
    {
        return invalid_request("messages",
                               "expected a list with at least one message");
    }
    std::int64_t total = 0;
    for (std::size_t i = 0; i < messages->size(); ++i)
    {
        auto const& message = (*messages)[i];
        auto const path = "messages[" + std::to_string(i) + "]";
        if (!message.is_object() || !message.contains("role") ||
            !message["role"].is_string())
        {
            return invalid_request(path + ".role", "expected text");
        }
        auto const bytes = message.contains("content")
                               ? content_bytes(message["content"])
                               : std::nullopt;
        if (!bytes)
        {
            return invalid_request(path + ".content",
                                   "expected text or a list of text parts");
        }
        total += *bytes + bytes_per_message_overhead;
    }
    return total;
}

std::variant<std::int64_t, rejection> max_tokens(json const& body,
                                                 config::model const& model)
{
    for (auto const* name : {"max_completion_tokens", "max_tokens"})
    {
        auto const member = body.find(name);
        if (member == body.end() || member->is_null())
        {
            continue;
        }
        bool const in_range = member->is_number_integer() && *member >= 1 &&
                              *member <= model.max_completion_tokens;
        if (!in_range)
        {
            return invalid_request(
                name, "expected a whole number of tokens from 1 to " +
                          std::to_string(model.max_completion_tokens));
        }
        return member->get<std::int64_t>();
    }
    return model.max_completion_tokens;
}

std::variant<bool, rejection> flag(json const& object, char const* name)
{
    auto const member = object.find(name);
    if (member == object.end() || member->is_null())
    {
        return false;
    }
    if (!member->is_boolean())
    {
        return invalid_request(name, "expected true or false");
    }
    return member->get<bool>();
}

std::variant<bool, rejection> include_usage(json const& body)
{
    auto const options = body.find("stream_options");
    if (options == body.end() || options->is_null())
    {
        return false;
    }
    if (!options->is_object())
    {
        return invalid_request("stream_options", "expected an object");
    }
    return flag(*options, "include_usage");
}

// Requests a stream from the engine also if the caller did not: the gap between
// tokens reveals a silent connection, which an unstreamed response would hide.
std::string upstream_body(json body, std::int64_t max_tokens)
{
    body["stream"] = true;
    body["stream_options"] = {{"include_usage", true}};
    body.erase("max_completion_tokens");
    body["max_tokens"] = max_tokens;
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::variant<json, rejection> parse_body(std::string_view text)
{
    if (exceeds_max_depth(text))
    {
        return invalid_request("body", "nested deeper than 64 levels");
    }
    auto body = json::parse(text, nullptr, false);
    if (body.is_discarded() || !body.is_object())
    {
        return invalid_request("body", "expected a JSON object");
    }
    return body;
}

} // namespace

rejection invalid_request(std::string param, std::string message)
{
    return {http_bad_request,        outcome::not_run, {},
            "invalid_request_error", "invalid_value",  std::move(param),
            std::move(message)};
}

std::variant<chat_request, rejection>
parse_chat_request(std::string_view text, config::document const& document)
{
    auto const parsed = parse_body(text);
    if (auto const* fault = std::get_if<rejection>(&parsed))
    {
        return *fault;
    }
    auto const& body = std::get<json>(parsed);
    auto const name = body.find("model");
    if (name == body.end() || !name->is_string())
    {
        return invalid_request("model", "expected the name of a model");
    }
    model_id const id{name->get<std::string>()};
    auto const model = document.models.find(id);
    if (model == document.models.end())
    {
        rejection fault = invalid_request("model", "no model has this name");
        fault.status = http_not_found;
        fault.code = "model_not_found";
        return fault;
    }
    auto const bytes = prompt_bytes(body);
    auto const limit = max_tokens(body, model->second);
    auto const stream = flag(body, "stream");
    auto const usage = include_usage(body);
    auto const count = body.contains("n") ? body["n"] : json(1);
    for (auto const* fault :
         {std::get_if<rejection>(&bytes), std::get_if<rejection>(&limit),
          std::get_if<rejection>(&stream), std::get_if<rejection>(&usage)})
    {
        if (fault != nullptr)
        {
            return *fault;
        }
    }
    if (count != 1 && !count.is_null())
    {
        return invalid_request("n", "only one choice is served");
    }
    // A token of ordinary text has at most about four bytes. A prompt is
    // rejected only if even this lowest estimate exceeds the limit.
    constexpr std::int64_t max_bytes_per_token = 4;
    auto const prompt = std::get<std::int64_t>(bytes);
    if (prompt > model->second.max_prompt_tokens * max_bytes_per_token)
    {
        return invalid_request("messages", "the prompt is too long");
    }
    return chat_request{id,
                        prompt,
                        std::get<std::int64_t>(limit),
                        std::get<bool>(stream),
                        std::get<bool>(usage),
                        upstream_body(body, std::get<std::int64_t>(limit))};
}

} // namespace caperpath::request
