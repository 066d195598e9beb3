#include "load/response_reader.hpp"

#include "stand_in/response_text.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace caperpath::load
{

namespace
{

using nlohmann::json;

constexpr std::string_view last_event{"[DONE]"};

json parse(std::string_view text)
{
    return json::parse(text, nullptr, false);
}

// Returns a member, or null if it is missing or `value` is not an object.
json const& member(json const& value, char const* key)
{
    static json const none;
    if (!value.is_object())
    {
        return none;
    }
    auto const found = value.find(key);
    return found == value.end() ? none : *found;
}

std::string text_of(json const& value)
{
    return value.is_string() ? value.get<std::string>() : std::string{};
}

std::int64_t number_of(json const& value)
{
    return value.is_number_integer() ? value.get<std::int64_t>() : 0;
}

std::string code_of(json const& body)
{
    auto const& error = member(body, "error");
    auto code = text_of(member(error, "code"));
    return code.empty() ? text_of(member(error, "type")) : code;
}

void read_usage(json const& body, received_response& read)
{
    auto const& usage = member(body, "usage");
    if (usage.is_object())
    {
        read.prompt_tokens = number_of(member(usage, "prompt_tokens"));
        read.completion_tokens = number_of(member(usage, "completion_tokens"));
    }
}

json const& first_choice(json const& body)
{
    static json const none;
    auto const& choices = member(body, "choices");
    return choices.is_array() && !choices.empty() ? choices.front() : none;
}

void add_token(received_response& read, std::string const& text,
               std::int64_t now_us)
{
    read.text += text;
    if (read.first_token_us < 0)
    {
        read.first_token_us = now_us;
    }
    else
    {
        read.gap_us.push_back(now_us - read.last_token_us);
    }
    read.last_token_us = now_us;
}

void read_finish(json const& choice, received_response& read)
{
    auto const reason = text_of(member(choice, "finish_reason"));
    if (!reason.empty())
    {
        read.finish_reason = reason;
    }
}

} // namespace

void stream_reader::feed(std::string_view piece, std::int64_t now_us)
{
    for (auto const& event : this->splitter.feed(piece))
    {
        this->take(event, now_us);
    }
}

received_response const& stream_reader::response() const
{
    return this->read;
}

void stream_reader::take(std::string_view event, std::int64_t now_us)
{
    if (event == last_event)
    {
        this->read.done = true;
        return;
    }
    auto const body = parse(event);
    if (member(body, "error").is_object())
    {
        this->read.error_code = code_of(body);
        this->read.error_outcome =
            text_of(member(member(body, "error"), "outcome"));
        return;
    }
    read_usage(body, this->read);
    auto const& choice = first_choice(body);
    auto const text = text_of(member(member(choice, "delta"), "content"));
    if (!text.empty())
    {
        add_token(this->read, text, now_us);
    }
    read_finish(choice, this->read);
}

received_response read_complete(std::string_view body, std::int64_t now_us)
{
    auto const object = parse(body);
    received_response read;
    read_usage(object, read);
    auto const& choice = first_choice(object);
    auto const& content = member(member(choice, "message"), "content");
    if (content.is_string())
    {
        add_token(read, text_of(content), now_us);
        read.done = true;
    }
    read_finish(choice, read);
    return read;
}

std::string error_code(std::string_view body)
{
    return code_of(parse(body));
}

verdict check_response(std::string const& prompt, std::int64_t max_tokens,
                       received_response const& answer)
{
    // The response depends on all messages, each ended by a line break.
    auto const seen = prompt + "\n";
    auto const length = std::min(stand_in::response_length(seen), max_tokens);
    auto const expected = stand_in::response_text(seen, 0, length);
    if (!expected.starts_with(answer.text))
    {
        return verdict::wrong;
    }
    if (!answer.done || answer.text.size() < expected.size())
    {
        return verdict::cut;
    }
    // A bill with a different token count is as wrong as a different text.
    return answer.completion_tokens == length ? verdict::complete
                                              : verdict::wrong;
}

} // namespace caperpath::load
