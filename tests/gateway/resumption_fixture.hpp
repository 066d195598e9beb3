#ifndef CAPERPATH_TESTS_GATEWAY_RESUMPTION_FIXTURE_HPP
#define CAPERPATH_TESTS_GATEWAY_RESUMPTION_FIXTURE_HPP

#include "gateway/fleet_site.hpp"
#include "gateway/resumable_prompt.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>

#include <map>
#include <memory>
#include <string>

namespace caperpath::gateway
{

/// Streams that break off after their second event, and callers that resume
/// them at routers that start again.
class resumption_fixture : public CppUnit::TestFixture
{
public:
    using request = fake_server::request;

    /// Streams that go on, by the version of the server.
    std::map<std::string, int> resumed;
    std::map<std::string, int> begun;

    void setUp() override
    {
        this->resumed.clear();
        this->begun.clear();
    }

    static std::string event(int id)
    {
        return "id: " + std::to_string(id) + "\ndata: t\n\n";
    }

    /// Adds a server that stays silent after the second event of a new stream,
    /// and completes those that go on.
    void add(fleet_site& site, std::string const& id,
             std::string const& version)
    {
        site.add_server(
            id, "llm",
            [this, version](request const& got)
            {
                if (got.find("Last-Event-Id") != got.end())
                {
                    this->resumed[version] += 1;
                    return script{
                        {stream_head(got), chunk_of(event(3)), chunk_of("")}};
                }
                this->begun[version] += 1;
                return script{{stream_head(got), chunk_of(event(1) + event(2))},
                              script::ending::silent};
            },
            version);
    }

    /// Ends the caller's connection, so that no request is open at the end.
    void leave(fleet_site& site)
    {
        if (this->caller)
        {
            this->caller->close();
            site.run_for(duration{100});
            this->caller.reset();
        }
    }

    /// Begins a stream and waits for its first events. Returns its version.
    std::string begin(fleet_site& site, std::string const& id)
    {
        site.route_timeout = duration{5'000};
        this->leave(site);
        auto const before = this->begun;
        this->caller = site.begin(resumable_prompt(id));
        CPPUNIT_ASSERT(
            site.run_until([&] { return this->caller->has_input(); }));
        // Its record is written.
        site.run_for(duration{300});
        for (auto const& [version, count] : this->begun)
        {
            auto const known = before.find(version);
            if (known == before.end() || known->second < count)
            {
                return version;
            }
        }
        return "";
    }

    /// Kills the router and starts it again, with servers of `versions`.
    std::unique_ptr<fleet_site>
    restart(std::unique_ptr<fleet_site> site,
            std::map<std::string, std::string> const& versions)
    {
        this->leave(*site);
        auto next = fleet_site::after_crash(std::move(site));
        for (auto const& [id, version] : versions)
        {
            this->add(*next, id, version);
        }
        next->wait_ready();
        return next;
    }

    connection_ptr caller;
};

} // namespace caperpath::gateway

#endif
