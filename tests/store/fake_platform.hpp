#ifndef CAPERPATH_TESTS_PLATFORM_FAKE_PLATFORM_HPP
#define CAPERPATH_TESTS_PLATFORM_FAKE_PLATFORM_HPP

#include <caperpath/store/http_port.hpp>

#include "store/store_emulator.hpp"

#include <cppunit/TestAssert.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <string>

namespace caperpath::store
{

// A platform emulator on a free port with a clock that the test controls.
class fake_platform
{
public:
    explicit fake_platform(store_emulator_settings const& settings = {})
        : server{settings, caperpath::clock{[this]
                                            {
                                                return instant{now};
                                            }}},
          address{server.start()}
    {
    }

    port connect(duration read_timeout = {30'000}) const
    {
        http_port_options options;
        options.address = this->address;
        options.read_timeout = read_timeout;
        return make_http_port(options);
    }

    void plan(nlohmann::json const& fault) const
    {
        CPPUNIT_ASSERT_EQUAL(200, this->post("/faults", fault));
    }

    int post(std::string const& path, nlohmann::json const& body) const
    {
        auto const response =
            this->client().Post(path, body.dump(), "text/json");
        return response ? response->status : -1;
    }

    nlohmann::json stats() const
    {
        return nlohmann::json::parse(this->client().Get("/stats")->body);
    }

    httplib::Client client() const
    {
        return httplib::Client{"http://" + this->address};
    }

    std::atomic<std::int64_t> now{1'000'000};
    store_emulator server;
    std::string address;
};

inline transaction insert(std::string const& key, std::string const& value)
{
    return {{{key, 0}}, {{key, value}}};
}

inline bool is_applied(commit_result const& result)
{
    return result.outcome == commit_outcome::applied;
}

} // namespace caperpath::store

#endif
