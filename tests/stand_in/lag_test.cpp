#include "stand_in/load_history.hpp"
#include "stand_in/prefix_cache.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <set>
#include <string>
#include <vector>

using namespace caperpath;
using namespace caperpath::stand_in;

namespace
{

std::string random_prompt()
{
    auto const blocks =
        *rc::gen::container<std::vector<char>>(rc::gen::inRange('a', 'c'));
    std::string prompt;
    for (auto const letter : blocks)
    {
        prompt += std::string(64, letter);
    }
    return prompt;
}

} // namespace

class lag_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(lag_test);
    CPPUNIT_TEST(events_replay_to_the_cache);
    CPPUNIT_TEST(events_are_late_and_have_gaps);
    CPPUNIT_TEST(load_is_reported_with_its_lag);
    CPPUNIT_TEST_SUITE_END();

    // Replaying the events gives the exact cache contents: a prompt's hit is as
    // long as the cached blocks at its start, and the capacity is never
    // exceeded.
    void events_replay_to_the_cache()
    {
        auto const holds = rc::check(
            []
            {
                auto const capacity = *rc::gen::inRange<std::int64_t>(0, 12);
                prefix_cache cache{capacity * cache_block_tokens,
                                   {},
                                   caperpath::clock{[]
                                                    {
                                                        return instant{0};
                                                    }}};
                std::set<std::uint64_t> known;
                std::int64_t next = 0;
                for (int turn = 0; turn < 20; ++turn)
                {
                    auto const prompt = random_prompt();
                    std::int64_t expected = 0;
                    for (auto const block : prefix_blocks(prompt))
                    {
                        if (!known.contains(block))
                        {
                            break;
                        }
                        expected += cache_block_tokens;
                    }
                    RC_ASSERT(cache.use(prompt) == expected);
                    RC_ASSERT(cache.tokens() <= capacity * cache_block_tokens);
                    auto const told = cache.events_after(next);
                    next = told.next;
                    for (auto const& event : told.events)
                    {
                        event.stored ? (void)known.insert(event.prefix)
                                     : (void)known.erase(event.prefix);
                    }
                }
            });
        CPPUNIT_ASSERT(holds);
    }

    void events_are_late_and_have_gaps()
    {
        constexpr std::int64_t blocks = 1'000;
        std::int64_t now = 0;
        prefix_cache cache{blocks * cache_block_tokens,
                           {{300}, 10},
                           caperpath::clock{[&now]
                                            {
                                                return instant{now};
                                            }}};
        cache.use(std::string(blocks * 64, 'x'));
        now = 299;
        CPPUNIT_ASSERT(cache.events_after(0).events.empty());
        now = 300;
        auto const told = cache.events_after(0).events.size();
        CPPUNIT_ASSERT(told > blocks * 85 / 100);
        CPPUNIT_ASSERT(told < blocks * 95 / 100);
    }

    void load_is_reported_with_its_lag()
    {
        std::int64_t now = 0;
        load_history history{caperpath::clock{[&now]
                                              {
                                                  return instant{now};
                                              }},
                             {500}};
        auto const set = [&](std::int64_t at, std::int64_t running)
        {
            now = at;
            history.update([&](load_sample& sample)
                           { sample.running = running; });
        };
        set(100, 1);
        set(200, 2);
        set(650, 3);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, history.lagged().running);
        now = 1'149;
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, history.lagged().running);
        now = 1'150;
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, history.lagged().running);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lag_test);
