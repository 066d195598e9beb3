#ifndef CAPERPATH_TESTS_REQUEST_CLAIM_WORLD_HPP
#define CAPERPATH_TESTS_REQUEST_CLAIM_WORLD_HPP

#include "request/turnstile.hpp"

#include <caperpath/request/claim_run.hpp>
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

/// How wild one run is. `percent`s are of the steps that they can strike.
struct world_settings
{
    std::uint64_t seed{};
    int routers{3};
    int keys{2};
    int calls{8};
    int crash_percent{2};
    int store_fault_percent{15};
    int lost_answer_percent{10}; ///< of the service's answers
    int caller_leaves_percent{10};
};

/// One request's work as its service, its callers and the ledger saw it.
struct key_record
{
    bool idempotent{false};
    int executions{0};
    std::int64_t billed{0};           ///< in the ledger
    std::int64_t owed{0};             ///< as the claim's row says at the end
    bool kept{false};                 ///< the row holds an answer at the end
    std::vector<std::string> answers; ///< given to callers
    int executions_at_unknown{-1};
};

/// Routers that claim, run, keep and bill the same few requests, driven step by
/// step over one table: a step is one call of the table or of the service.
class claim_world
{
public:
    static constexpr std::int64_t price = 100;
    static constexpr char first_body[] = "one battery";

    explicit claim_world(world_settings const& given);

    /// Runs to the end; the sentence that does not hold, empty if all do.
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

    struct router_crashed
    {
    };

    bool chance(int percent);
    int draw(int most);
    void call(int router, std::string const& key, std::string const& body);
    void serve(int router, std::string const& key, std::string const& body);
    void run_claimed(int router, request::begun_claim const& begun,
                     std::string const& key);
    void bill(int router, std::string const& key, std::int64_t tokens);
    void withdraw(int router, request::held_claim const& doubtful);
    request::claim_store store_of(int router);
    store::commit_result commit(int router, store::transaction const& txn);
    void pass(int router);
    void disturb();
    void fence(router& dead);
    void settle();
    std::string check();
    std::string check_key(std::string const& key, key_record const& record);
    std::string check_repeat(std::string const& key, key_record const& record);
    request::claim_request asked(std::string const& key,
                                 std::string const& body) const;

    world_settings given;
    std::mt19937_64 random;
    std::shared_ptr<store::memory_table> table;
    store::port direct;
    std::deque<store::transaction> late;
    std::vector<router> routers;
    std::map<std::string, key_record> seen;
    std::int64_t time{1'000};
    int tickets{0};
    int crash_count{0};
    bool calm{false};
    turnstile turns;
};

} // namespace caperpath::tests

#endif
