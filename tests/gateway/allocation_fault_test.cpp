#include "gateway/fleet_site.hpp"
#include "platform/protocol_adapter.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <new>

using namespace caperpath;
using namespace caperpath::gateway;

namespace
{

/// How many of the next allocations on this thread fail.
thread_local int failing_allocations = 0;

} // namespace

// NOLINTBEGIN(misc-new-delete-overloads)
[[gnu::noinline]] void* operator new(std::size_t size)
{
    auto const fails = failing_allocations > 0;
    failing_allocations -= fails ? 1 : 0;
    auto* const memory = fails ? nullptr : std::malloc(size);
    if (memory == nullptr)
    {
        throw std::bad_alloc{};
    }
    return memory;
}

// Without it, memory of the sanitizer's own would reach `operator delete`.
[[gnu::noinline]] void* operator new(std::size_t size,
                                     std::nothrow_t const& /*tag*/) noexcept
{
    return std::malloc(size);
}

[[gnu::noinline]] void operator delete(void* memory) noexcept
{
    std::free(memory);
}

[[gnu::noinline]] void operator delete(void* memory, std::size_t) noexcept
{
    std::free(memory);
}
// NOLINTEND(misc-new-delete-overloads)

/// Allocations that fail while an exception is handled.
class allocation_fault_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(allocation_fault_test);
    CPPUNIT_TEST(an_attempt_without_memory_for_its_end_ends);
    CPPUNIT_TEST_SUITE_END();

    inline static int throws = 0;

    /// Throws, and leaves no memory for what is allocated next.
    static void prepare_or_throw(http::fields& head)
    {
        if (throws > 0)
        {
            throws -= 1;
            failing_allocations = 1;
            throw std::bad_alloc{};
        }
        platform::make_protocol_adapter().prepare_response(head);
    }

    // Guards against the end of the process, with all that is open, because an
    // attempt that has failed cannot hand its connection back.
    void an_attempt_without_memory_for_its_end_ends()
    {
        auto adapter = platform::make_protocol_adapter();
        adapter.prepare_response = prepare_or_throw;
        fleet_site site{adapter};
        site.add_server("i-1", "app",
                        [](fake_server::request const& got) {
                            return script{{complete_response(got, 200, "ok")}};
                        });
        site.wait_ready();
        throws = 1;
        auto const failed = site.send(fleet_site::request("GET", "/read/1"));
        CPPUNIT_ASSERT_EQUAL(502, failed.status);
        CPPUNIT_ASSERT_EQUAL(0, throws);
        CPPUNIT_ASSERT_EQUAL(0, failing_allocations);
        CPPUNIT_ASSERT_EQUAL(
            200, site.send(fleet_site::request("GET", "/read/1")).status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(allocation_fault_test);
