#ifndef CAPERPATH_TESTS_STAND_IN_CHAT_CLIENT_HPP
#define CAPERPATH_TESTS_STAND_IN_CHAT_CLIENT_HPP

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <fstream>
#include <functional>
#include <string>
#include <vector>

/// Helpers shared by the tests of the emulators.
namespace stand_in_test
{

/// The events of one streamed response in order of arrival.
struct received
{
    int status{0};
    httplib::Headers headers;
    std::vector<nlohmann::json> events;
    bool done{false}; ///< `[DONE]` received
    std::string tail; ///< bytes of an incomplete event

    std::vector<std::int64_t> offsets() const
    {
        std::vector<std::int64_t> found;
        for (auto const& event : this->events)
        {
            if (!this->text_of(event).empty())
            {
                found.push_back(event["caperpath"]["offset"]);
            }
        }
        return found;
    }

    std::string text() const
    {
        std::string all;
        for (auto const& event : this->events)
        {
            all += this->text_of(event);
        }
        return all;
    }

    void add(std::string const& bytes)
    {
        this->tail += bytes;
        for (auto end = this->tail.find("\n\n"); end != std::string::npos;
             end = this->tail.find("\n\n"))
        {
            auto const data = this->tail.substr(6, end - 6);
            this->tail.erase(0, end + 2);
            this->done = data == "[DONE]";
            if (!this->done)
            {
                this->events.push_back(nlohmann::json::parse(data));
            }
        }
    }

private:
    static std::string text_of(nlohmann::json const& event)
    {
        return event["choices"].empty()
                   ? ""
                   : event["choices"][0]["delta"].value("content", "");
    }
};

inline nlohmann::json chat_body(std::string const& prompt, bool stream)
{
    return {{"model", "asistente"},
            {"messages", {{{"role", "user"}, {"content", prompt}}}},
            {"stream", stream},
            {"stream_options", {{"include_usage", true}}}};
}

/// Calls `POST /v1/chat/completions` streamed; disconnects if `on_piece`,
/// called after each piece, returns false.
inline received stream_chat(
    int port, nlohmann::json const& body, httplib::Headers const& headers = {},
    std::function<bool(received const&)> const& on_piece = [](received const&)
    { return true; })
{
    httplib::Client client{"127.0.0.1", port};
    received result;
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.headers = headers;
    request.body = body.dump();
    request.set_header("Content-Type", "application/json");
    request.response_handler = [&](httplib::Response const& response)
    {
        result.status = response.status;
        result.headers = response.headers;
        return true;
    };
    request.content_receiver =
        [&](char const* data, std::size_t size, std::uint64_t, std::uint64_t)
    {
        if (result.status == 200)
        {
            result.add({data, size});
        }
        return on_piece(result);
    };
    client.send(request);
    return result;
}

inline httplib::Result post(int port, std::string const& path,
                            nlohmann::json const& body,
                            httplib::Headers const& headers = {})
{
    httplib::Client client{"127.0.0.1", port};
    return client.Post(path, headers, body.dump(), "application/json");
}

inline nlohmann::json get(int port, std::string const& path)
{
    httplib::Client client{"127.0.0.1", port};
    auto const response = client.Get(path);
    return response ? nlohmann::json::parse(response->body) : nlohmann::json{};
}

inline nlohmann::json example(std::string const& name)
{
    std::ifstream file{CAPERPATH_SOURCE_DIR "/examples/" + name};
    return nlohmann::json::parse(file);
}

} // namespace stand_in_test

#endif
