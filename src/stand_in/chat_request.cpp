#include "stand_in/chat_request.hpp"

#include "stand_in/response_text.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace caperpath::stand_in
{

namespace
{

constexpr std::int64_t token_limit = 1'000'000;
constexpr std::int64_t max_attempts = 1'000'000;
constexpr std::int64_t max_priority = 1'000;
constexpr std::size_t max_id_length = 200;
constexpr std::int64_t ms_per_second = 1'000;

std::int64_t whole_header(httplib::Request const& request, char const* name,
                          std::int64_t least, std::int64_t most,
                          std::int64_t fallback,
                          std::vector<config::fault>& faults)
{
    if (!request.has_header(name))
    {
        return fallback;
    }
    auto const text = request.get_header_value(name);
    auto const* const end = text.data() + text.size();
    std::int64_t value = 0;
    auto const parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end || value < least ||
        value > most)
    {
        faults.push_back({name, "expected a whole number from " +
                                    std::to_string(least) + " to " +
                                    std::to_string(most)});
        return fallback;
    }
    return value;
}

bool includes_usage(nlohmann::json const& body)
{
    auto const options = body.find("stream_options");
    if (options == body.end() || !options->is_object())
    {
        return false;
    }
    auto const include = options->find("include_usage");
    return include != options->end() && *include == true;
}

std::int64_t read_max_tokens(config::json_reader& reader)
{
    auto const* const key = reader.has("max_completion_tokens")
                                ? "max_completion_tokens"
                                : "max_tokens";
    return reader.integer_or(key, "tokens", 1, token_limit, token_limit);
}

// The id is copied to JSON and headers, so it must be printable ASCII.
std::string read_request_id(httplib::Request const& request,
                            std::vector<config::fault>& faults)
{
    auto id = request.get_header_value("X-Request-Id");
    auto const plain =
        std::all_of(id.begin(), id.end(),
                    [](char letter) { return letter > ' ' && letter <= '~'; });
    if (!plain || id.size() > max_id_length)
    {
        faults.push_back({"X-Request-Id", "expected up to " +
                                              std::to_string(max_id_length) +
                                              " printable ASCII characters"});
    }
    return id;
}

response_format read_form(config::json_reader& reader,
                          nlohmann::json const& body)
{
    response_format form;
    form.model = reader.text("model");
    form.created = clock::wall().now().ms / ms_per_second;
    form.streamed = reader.boolean_or("stream", false);
    form.include_usage = includes_usage(body);
    return form;
}

} // namespace

chat_request parse_chat(httplib::Request const& request,
                        nlohmann::json const& body,
                        std::vector<config::fault>& faults)
{
    config::json_reader reader{body, "", faults};
    chat_request chat;
    chat.form = read_form(reader, body);
    auto const max_tokens = read_max_tokens(reader);
    if (!body.is_object())
    {
        return chat;
    }
    if (!body.contains("messages") || !body.at("messages").is_array())
    {
        reader.reject("messages", "expected an array of messages");
        return chat;
    }
    auto& generation = chat.generation;
    generation.prompt = prompt_text(body.at("messages"));
    auto const length = response_length(generation.prompt);
    generation.last = std::min(length, max_tokens);
    chat.form.finish_reason = length > max_tokens ? "length" : "stop";
    generation.request = read_request_id(request, faults);
    generation.attempt =
        whole_header(request, "Caperpath-Attempt", 1, max_attempts, 1, faults);
    generation.first = whole_header(request, "Caperpath-Resume-Offset", 0,
                                    generation.last, 0, faults);
    generation.priority = whole_header(request, "Caperpath-Priority",
                                       -max_priority, max_priority, 0, faults);
    return chat;
}

} // namespace caperpath::stand_in
