#ifndef CAPERPATH_TESTS_FLEET_COLD_FLEET_HPP
#define CAPERPATH_TESTS_FLEET_COLD_FLEET_HPP

#include <caperpath/fleet/placement.hpp>
#include <caperpath/fleet/server_table.hpp>
#include <caperpath/fleet/warm_up.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace caperpath::fleet
{

/// The size of a simulated fleet and its load. Immutable value.
struct cold_fleet_size
{
    std::size_t routers{};
    int servers{}; ///< in three failure domains
    double requests_per_second{};

    friend bool operator==(cold_fleet_size const&,
                           cold_fleet_size const&) = default;
};

/// Routers that place requests on servers by their own views, which lag behind.
/// Counts what reaches servers while they are cold.
class cold_fleet
{
public:
    /// With `bounded` false the routers do not know of cold servers.
    cold_fleet(cold_fleet_size const& size, bool bounded, std::uint64_t seed);

    void run(instant until);

    /// The server turns cold; routers in touch hear of it `delay` later, or a
    /// little after that.
    void turn_cold(int server, duration delay);

    /// All servers of a failure domain stop, and come back cold as new ones.
    void stop_domain(int domain);
    void return_domain_cold(int domain);

    /// Makes the hot prompt one whose first server is in `domain`.
    void choose_hot_prompt(int domain);

    /// Routers that hear nothing of the store from now on.
    void cut_routers(std::size_t count);

    /// The most requests that reached one cold server within one second.
    std::int64_t busiest_cold_second() const;

    std::int64_t served{};
    std::int64_t rejected{};
    double burst{1.0};     ///< times the usual load
    double hot_share{0.0}; ///< of the requests have the same prompt
    instant now{0};

    static constexpr warm_up_limit limit{{3'000}, 14};
    static constexpr warm_up_tolerance tolerance{1.5, 5};

private:
    struct router
    {
        server_table view;
        prefix_history prompts{1'000};
        bool cut{false};
        instant shares_at{-1'000};
    };
    struct simulated_server
    {
        server_entry entry;
        int running{};
        instant cold_until{-1};
        std::vector<instant> cold_arrivals;
        bool up{true};
    };
    struct completion
    {
        instant at;
        std::size_t router;
        std::string server;

        friend bool operator>(completion const& a, completion const& b)
        {
            return a.at > b.at;
        }
    };
    struct entry_update
    {
        instant at;
        std::size_t router;
        server_entry entry;
        bool removed;

        friend bool operator>(entry_update const& a, entry_update const& b)
        {
            return a.at > b.at;
        }
    };

    void send_request();
    void update_shares(std::size_t index);
    void complete(completion const& one);
    void publish(server_entry const& entry, bool removed, duration delay);
    std::string name_of_router(std::size_t index) const;

    cold_fleet_size size;
    bool bounded;
    service engines;
    std::mt19937_64 random;
    std::vector<router> routers;
    std::vector<std::string> router_names;
    std::map<std::string, simulated_server> servers;
    std::vector<std::string> current; ///< id of each server's incarnation
    int incarnations{};
    std::uint64_t hot_part{2'000};
    double next_request_ms{};
    std::priority_queue<completion, std::vector<completion>, std::greater<>>
        completions;
    std::priority_queue<entry_update, std::vector<entry_update>, std::greater<>>
        updates;
};

} // namespace caperpath::fleet

#endif
