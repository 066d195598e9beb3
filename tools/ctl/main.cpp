#include "ctl/http_client.hpp"
#include "ctl/verbs.hpp"

#include <caperpath/store/http_port.hpp>

#include <openssl/rand.h>

#include <chrono>
#include <iostream>
#include <stdexcept>
#include <thread>

namespace
{

std::string random_bytes(std::size_t size)
{
    std::string bytes(size, '\0');
    auto* const target = reinterpret_cast<unsigned char*>(bytes.data());
    if (RAND_bytes(target, static_cast<int>(size)) != 1)
    {
        throw std::runtime_error{"cannot generate random bytes"};
    }
    return bytes;
}

} // namespace

int main(int argc, char** argv)
{
    using namespace caperpath;
    ctl::session run{std::cout,
                     std::cerr,
                     [](std::string const& address)
                     {
                         store::http_port_options options;
                         options.address = address;
                         return store::make_http_port(options);
                     },
                     ctl::call_http,
                     random_bytes,
                     clock::wall(),
                     [](duration span)
                     {
                         std::this_thread::sleep_for(
                             std::chrono::milliseconds{span.ms});
                     }};
    try
    {
        return ctl::run(run, argc, argv);
    }
    catch (std::exception const& problem)
    {
        return ctl::print_error(
            run, {error_kind::internal, "run", "", problem.what()}, true);
    }
}
