#ifndef CAPERPATH_TESTS_REQUEST_CLAIM_SIMULATION_HPP
#define CAPERPATH_TESTS_REQUEST_CLAIM_SIMULATION_HPP

#include "request/step_gate.hpp"

#include <caperpath/request/claim_store.hpp>
#include <caperpath/store/memory_table.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace caperpath::tests
{

/// Parameters of one run. Each `percent` is the probability of its fault in a
/// step that it can affect.
struct simulation_settings
{
    std::uint64_t seed{};
    int routers{3};
    int keys{2};
    int calls{8};
    int crash_percent{2};
    int store_fault_percent{15};
    int lost_response_percent{10}; ///< of the service's responses
    int caller_disconnect_percent{10};
};

/// Effects of one request at its service, its callers and the ledger.
struct key_record
{
    bool idempotent{false};
    int executions{0};
    std::int64_t billed{0}; ///< in the ledger
    std::int64_t owed{0};   ///< billed amount in the claim's row at the end
    bool response_stored{false};        ///< the row holds a response at the end
    std::vector<std::string> responses; ///< sent to callers
    int executions_at_unknown{-1};
};

/// Simulates routers that claim, run, store and bill the same few requests over
/// one table, step by step. A step is one call of the table or of the service.
class claim_simulation
{
public:
    static constexpr std::int64_t price = 100;
    static constexpr char first_body[] = "one battery";

    explicit claim_simulation(simulation_settings const& given);

    /// Runs to the end. Returns the violated invariant, or empty if all hold.
    std::string run();

    std::map<std::string, key_record> const& records() const;
    int crashes() const;

private:
    struct router
    {
        request::claimant self;
        bool crashed{false};
        bool fenced{false};
    };

    struct crashed_in_step
    {
    };

    bool chance(int percent);
    int random_below(int limit);
    void call(int router, std::string const& key, std::string const& body);
    void serve(int router, std::string const& key, std::string const& body);
    void run_claimed(int router, request::begin_result const& begun,
                     std::string const& key);
    void bill(int router, std::string const& key, std::int64_t tokens);
    void withdraw(int router, request::held_claim const& doubtful);
    request::claim_store store_of(int router);
    store::commit_result commit(int router, store::transaction const& txn);
    void pass(int router);
    void inject_events();
    void fence(router& dead);
    void stabilize();
    std::string check();
    std::string check_key(std::string const& key, key_record const& record);
    std::string check_retry(std::string const& key, key_record const& record);
    request::claim_request asked(std::string const& key,
                                 std::string const& body) const;

    simulation_settings given;
    std::mt19937_64 random;
    std::shared_ptr<store::memory_table> table;
    store::port direct;
    std::deque<store::transaction> delayed_writes;
    std::vector<router> routers;
    std::map<std::string, key_record> by_key;
    std::int64_t time{1'000};
    int ticket_count{0};
    int crash_count{0};
    bool faults_ended{false};
    step_gate gate;
};

} // namespace caperpath::tests

#endif
