#include "http/cut_connection.hpp"

#include <filesystem>
#include <netinet/in.h>
#include <sys/socket.h>

namespace caperpath::http
{

namespace
{

using socket_name = int (*)(int, sockaddr*, socklen_t*);

// Returns the port at one end of `socket`, or -1 if it is not an IPv4 socket.
int port_of(int socket, socket_name name)
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    auto* const plain = reinterpret_cast<sockaddr*>(&address);
    if (name(socket, plain, &size) != 0 || address.sin_family != AF_INET)
    {
        return -1;
    }
    return ntohs(address.sin_port);
}

} // namespace

// httplib exposes the two ports of a connection to its handler, but not the
// socket, so the socket is found by its ports.
void cut_connection(httplib::Request const& request)
{
    for (auto const& entry :
         std::filesystem::directory_iterator{"/proc/self/fd"})
    {
        auto const socket = std::stoi(entry.path().filename().string());
        if (port_of(socket, ::getpeername) == request.remote_port &&
            port_of(socket, ::getsockname) == request.local_port)
        {
            ::shutdown(socket, SHUT_RDWR);
            return;
        }
    }
}

} // namespace caperpath::http
