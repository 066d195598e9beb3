#include "filters/request_filters.hpp"

#include <caperpath/base/http_status.hpp>
#include <caperpath/request/pricing.hpp>

#include <string_view>

namespace caperpath::filters
{

namespace
{

constexpr std::string_view services_prefix = "/services/";

request::rejection unknown_service(std::string param, std::string message)
{
    auto fault = request::invalid_request(std::move(param), std::move(message));
    fault.status = http_not_found;
    fault.code = "service_not_found";
    return fault;
}

bool matches(config::service_call const& call, std::string const& method,
             std::string_view path)
{
    bool const method_matches = call.method == "*" || call.method == method;
    return method_matches && path.starts_with(call.path_prefix);
}

std::optional<request::rejection> parse_service_request(context& request)
{
    std::string_view rest = request.in.path;
    rest.remove_prefix(services_prefix.size());
    auto const end = rest.find_first_of("/?");
    service_id const id{std::string{rest.substr(0, end)}};
    auto path = end == std::string_view::npos ? std::string{"/"}
                                              : std::string{rest.substr(end)};
    if (path.front() == '?')
    {
        path.insert(path.begin(), '/');
    }
    auto const service = request.document->services.find(id);
    if (service == request.document->services.end())
    {
        return unknown_service("path", "no service has this name");
    }
    for (auto const& call : service->second.calls)
    {
        if (matches(call, request.in.method, path))
        {
            request.worst_case = call.price;
            request.parsed_request = service_request{id, std::move(path), call};
            return std::nullopt;
        }
    }
    return unknown_service("path", "the service has no such call");
}

std::optional<request::rejection> parse_chat(context& request)
{
    auto parsed =
        request::parse_chat_request(request.in.body, *request.document);
    if (auto* const fault = std::get_if<request::rejection>(&parsed))
    {
        return std::move(*fault);
    }
    auto& chat = std::get<request::chat_request>(parsed);
    request.worst_case =
        request::worst_case(request.document->models.at(chat.model),
                            chat.prompt_bytes, chat.max_tokens);
    request.parsed_request = std::move(chat);
    return std::nullopt;
}

std::optional<request::rejection> enter(context& request)
{
    bool const service = request.in.path.starts_with(services_prefix);
    return service ? parse_service_request(request) : parse_chat(request);
}

void leave(context&)
{
}

} // namespace

filter parse_filter()
{
    return {"understand", enter, leave};
}

} // namespace caperpath::filters
