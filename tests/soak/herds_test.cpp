#include "soak/soak_main.hpp"

// Guards against callers that are not served while the load balancer hands most
// new connections to one of the routers.

int main(int argc, char** argv)
{
    return caperpath::soak::run_soak(
        argc, argv,
        "Sends most new connections to one router, to another one after some "
        "seconds, and checks that callers are served as before.",
        {20'261'205,
         {},
         6,
         96,
         CAPERPATH_GATEWAY,
         {},
         false,
         false,
         false,
         true});
}
