#include "router/response_json.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace caperpath::router
{

namespace
{

using nlohmann::json;

constexpr std::int64_t ms_per_second = 1'000;

// An engine may split a character between two tokens, and neither half is valid
// UTF-8.
std::string dump(json const& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string event_of(json const& value)
{
    return "data: " + dump(value) + "\n\n";
}

json head_of(response_identity const& identity, char const* object)
{
    return {{"id", "chatcmpl-" + identity.id.value},
            {"object", object},
            {"created", identity.created.ms / ms_per_second},
            {"model", identity.model.value}};
}

json chunk_of(response_identity const& identity, json delta, json finish_reason)
{
    auto chunk = head_of(identity, "chat.completion.chunk");
    chunk["choices"] =
        json::array({{{"index", 0},
                      {"delta", std::move(delta)},
                      {"finish_reason", std::move(finish_reason)}}});
    return chunk;
}

json usage_of(request::usage const& used)
{
    return {{"prompt_tokens", used.prompt_tokens},
            {"completion_tokens", used.completion_tokens},
            {"total_tokens", used.prompt_tokens + used.completion_tokens}};
}

json error_of(request::rejection const& rejection)
{
    json error{{"message", rejection.message},
               {"type", rejection.type},
               {"param", nullptr},
               {"code", rejection.code},
               {"outcome", request::to_string(rejection.kind)}};
    if (!rejection.param.empty())
    {
        error["param"] = rejection.param;
    }
    return {{"error", std::move(error)}};
}

} // namespace

std::string role_event(response_identity const& identity)
{
    return event_of(
        chunk_of(identity, {{"role", "assistant"}, {"content", ""}}, nullptr));
}

std::string token_event(response_identity const& identity,
                        std::string const& text)
{
    return event_of(chunk_of(identity, {{"content", text}}, nullptr));
}

std::string finish_event(response_identity const& identity,
                         std::string const& finish_reason)
{
    return event_of(chunk_of(identity, json::object(), finish_reason));
}

std::string usage_event(response_identity const& identity,
                        request::usage const& used)
{
    auto chunk = head_of(identity, "chat.completion.chunk");
    chunk["choices"] = json::array();
    chunk["usage"] = usage_of(used);
    return event_of(chunk);
}

std::string error_event(request::rejection const& rejection)
{
    return event_of(error_of(rejection));
}

std::string completion_json(response_identity const& identity,
                            complete_response const& response)
{
    auto completion = head_of(identity, "chat.completion");
    completion["choices"] = json::array(
        {{{"index", 0},
          {"message", {{"role", "assistant"}, {"content", response.text}}},
          {"finish_reason", response.finish_reason}}});
    completion["usage"] = usage_of(response.used);
    return dump(completion);
}

std::optional<complete_response> parse_completion(std::string const& text)
{
    auto const body = json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("choices"))
    {
        return std::nullopt;
    }
    auto const& choice = body["choices"].at(0);
    auto const& used = body["usage"];
    return complete_response{choice["message"]["content"].get<std::string>(),
                             choice["finish_reason"].get<std::string>(),
                             {used["prompt_tokens"].get<std::int64_t>(),
                              used["completion_tokens"].get<std::int64_t>()}};
}

std::string error_json(request::rejection const& rejection)
{
    return dump(error_of(rejection));
}

std::string models_json(config::document const& document)
{
    json list = json::array();
    for (auto const& [id, model] : document.models)
    {
        list.push_back({{"id", id.value},
                        {"object", "model"},
                        {"created", 0},
                        {"owned_by", "caperpath"}});
    }
    return dump({{"object", "list"}, {"data", std::move(list)}});
}

} // namespace caperpath::router
