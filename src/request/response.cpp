#include <caperpath/request/response.hpp>

#include <nlohmann/json.hpp>

#include <utility>

namespace caperpath::request
{

namespace
{

using nlohmann::json;

std::int64_t integer_member(json const& object, char const* name,
                            std::int64_t fallback)
{
    auto const member = object.find(name);
    bool const valid = member != object.end() && member->is_number_integer();
    return valid ? member->get<std::int64_t>() : fallback;
}

std::string string_member(json const& object, char const* name)
{
    auto const member = object.find(name);
    bool const valid = member != object.end() && member->is_string();
    return valid ? member->get<std::string>() : std::string{};
}

json const& object_member(json const& object, char const* name)
{
    static json const empty = json::object();
    auto const member = object.find(name);
    bool const valid = member != object.end() && member->is_object();
    return valid ? *member : empty;
}

engine_event decode_choice(engine_event event, json const& choice)
{
    event.finish_reason = string_member(choice, "finish_reason");
    event.text = string_member(object_member(choice, "delta"), "content");
    event.type = event.finish_reason.empty() ? engine_event::kind::token
                                             : engine_event::kind::finish;
    return event;
}

accept_result broken(response_state state)
{
    return {std::move(state), acceptance::broken};
}

accept_result accept_token(response_state state, engine_event const& event)
{
    // If an engine repeats, skips or mixes up chunks, the caller would get
    // duplicate, missing or another request's tokens. The offset detects it.
    if (event.offset != state.next_offset || !state.finish_reason.empty())
    {
        return broken(std::move(state));
    }
    // The reservation covers `max_tokens`. A longer response would cost more
    // than was reserved, so it is truncated here.
    if (state.next_offset >= state.max_tokens)
    {
        state.finish_reason = "length";
        state.done = true;
        return {std::move(state), acceptance::truncate};
    }
    ++state.next_offset;
    return {std::move(state), acceptance::pass};
}

} // namespace

engine_event decode_engine_event(std::string_view data)
{
    engine_event event;
    if (data == "[DONE]")
    {
        event.type = engine_event::kind::done;
        return event;
    }
    auto const body = json::parse(data, nullptr, false);
    if (body.is_discarded() || !body.is_object())
    {
        return event;
    }
    auto const& exchange = object_member(body, "caperpath");
    event.request = string_member(exchange, "request");
    event.attempt = static_cast<int>(integer_member(exchange, "attempt", 0));
    event.offset = integer_member(exchange, "offset", -1);
    auto const& token_usage = object_member(body, "usage");
    if (!token_usage.empty())
    {
        event.type = engine_event::kind::usage;
        event.used = {integer_member(token_usage, "prompt_tokens", 0),
                      integer_member(token_usage, "completion_tokens", 0)};
        return event;
    }
    auto const choices = body.find("choices");
    if (choices == body.end() || !choices->is_array() || choices->empty() ||
        !choices->front().is_object())
    {
        return event;
    }
    return decode_choice(std::move(event), choices->front());
}

accept_result accept(response_state const& state, engine_event const& event)
{
    if (state.done || event.type == engine_event::kind::malformed)
    {
        return broken(state);
    }
    if (event.type == engine_event::kind::done)
    {
        // A stream that ends without a finish reason has lost its last chunks;
        // the caller would take an incomplete response for a complete one.
        if (state.finish_reason.empty())
        {
            return broken(state);
        }
        auto ended = state;
        ended.done = true;
        return {std::move(ended), acceptance::pass};
    }
    if (event.request != state.request.value || event.attempt != state.attempt)
    {
        return broken(state);
    }
    auto next = state;
    if (event.type == engine_event::kind::token)
    {
        return accept_token(std::move(next), event);
    }
    if (event.type == engine_event::kind::finish)
    {
        next.finish_reason = event.finish_reason;
        return {std::move(next), acceptance::pass};
    }
    next.used = event.used;
    return {std::move(next), acceptance::ignore};
}

response_state next_attempt(response_state const& state)
{
    auto next = state;
    ++next.attempt;
    next.finish_reason.clear();
    next.used.reset();
    return next;
}

} // namespace caperpath::request
