#include "capacity/site.hpp"

#include "capacity/probe.hpp"
#include "http/server.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <functional>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace caperpath::bench
{

namespace
{

constexpr std::size_t caller_counts[] = {8, 32, 128};
constexpr std::size_t held_counts[] = {10, 100, 1'000};
constexpr std::chrono::milliseconds rest_span{10'000};
constexpr std::chrono::milliseconds load_span{5'000};
/// Bills of the deferred interval are settled, and draws done, by then.
constexpr std::chrono::milliseconds settling{4'000};
constexpr int http_ok = 200;

bool ask_once(httplib::Client& client, std::size_t customer)
{
    static auto const body =
        nlohmann::json{{"model", "asistente"},
                       {"max_tokens", 1},
                       {"messages", nlohmann::json::array(
                                        {{{"role", "user"},
                                          {"content", "yes? [tokens=1]"}}})}}
            .dump();
    auto const answer = client.Post(
        "/v1/chat/completions",
        httplib::Headers{{"Authorization", "Bearer " + customer_key(customer)}},
        body, "application/json");
    return answer && answer->status == http_ok;
}

/// Callers that send requests continuously on one connection each.
class asking
{
public:
    asking(site const& where, std::size_t callers)
    {
        for (std::size_t i = 0; i < callers; ++i)
        {
            this->threads.emplace_back([this, address = where.router]
                                       { this->run(address); });
        }
    }

    std::int64_t answered() const
    {
        return this->done.load();
    }

    /// Throws if a response had a status other than 200.
    void finish()
    {
        this->stopping = true;
        for (auto& thread : this->threads)
        {
            thread.join();
        }
        if (this->failed > 0)
        {
            throw std::runtime_error{"a request got a status other than 200"};
        }
    }

private:
    void run(std::string const& address)
    {
        auto const where = http::parse_endpoint(address);
        httplib::Client client{where.host, where.port};
        client.set_keep_alive(true);
        client.set_tcp_nodelay(true);
        while (!this->stopping)
        {
            auto& counter = ask_once(client, 0) ? this->done : this->failed;
            ++counter;
        }
    }

    std::atomic<bool> stopping{false};
    std::atomic<std::int64_t> done{0};
    std::atomic<std::int64_t> failed{0};
    std::vector<std::thread> threads;
};

void measure_rest(site const& where, report& out)
{
    auto const found = observe_for(where, rest_span);
    auto const add = [&](char const* name, char const* unit, double value)
    {
        out.figures.push_back({"requests", name, unit, value / found.seconds});
    };
    add("table reads at rest, no budget held", "a second", found.reads);
    add("table writes at rest", "a second", found.writes);
    add("processor time at rest", "us a second", found.router_us);
}

void measure_answers(site const& where, report& out)
{
    series work{"requests",
                "processor time, one-token answers",
                "requests a second",
                "us a second",
                {}};
    series writes{"requests",
                  "table writes, one budget",
                  "requests a second",
                  "writes a second",
                  {}};
    series reads{"requests",
                 "table reads, one budget",
                 "requests a second",
                 "reads a second",
                 {}};
    for (auto const callers : caller_counts)
    {
        asking load{where, callers};
        std::this_thread::sleep_for(std::chrono::seconds{2});
        auto const before = load.answered();
        auto const found = observe_for(where, load_span);
        auto const answered = static_cast<double>(load.answered() - before);
        load.finish();
        auto const rate = answered / found.seconds;
        work.points.push_back({rate, found.router_us / found.seconds});
        writes.points.push_back({rate, found.writes / found.seconds});
        reads.points.push_back({rate, found.reads / found.seconds});
    }
    for (auto* one : {&work, &writes, &reads})
    {
        out.lines.push_back(std::move(*one));
    }
}

void measure_held(site const& where, report& out)
{
    series reads{"requests",
                 "table reads at rest",
                 "budgets held",
                 "reads a second",
                 {}};
    series work{"requests",
                "processor time at rest",
                "budgets held",
                "us a second",
                {}};
    auto const address = http::parse_endpoint(where.router);
    httplib::Client client{address.host, address.port};
    client.set_keep_alive(true);
    std::size_t held = 0;
    for (auto const count : held_counts)
    {
        for (; held < count; ++held)
        {
            if (!ask_once(client, held))
            {
                throw std::runtime_error{"drawing tokens from a budget failed"};
            }
        }
        std::this_thread::sleep_for(settling);
        auto const found = observe_for(where, load_span);
        auto const size = static_cast<double>(count);
        reads.points.push_back({size, found.reads / found.seconds});
        work.points.push_back({size, found.router_us / found.seconds});
    }
    out.lines.push_back(std::move(reads));
    out.lines.push_back(std::move(work));
}

} // namespace

void measure_requests(site const& where, report& out)
{
    measure_rest(where, out);
    measure_answers(where, out);
    measure_held(where, out);
}

} // namespace caperpath::bench
