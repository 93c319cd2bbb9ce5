// loopback.hpp - An event loop and a server for tests with real sockets on the
// loopback address.
#pragma once

#include <arpa/inet.h>
#include <ev.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

inline struct ev_loop *
GetLoop()
{
    return ev_default_loop(EVFLAG_AUTO);
}

// Runs the loop until a condition holds; fails the test after 2000 iterations,
// about 20 s without other events.
inline void
RunUntil(std::function<bool()> is_done)
{
    ev_timer tick;
    ev_timer_init(
        &tick, [](struct ev_loop *, ev_timer *, int) {}, 0.01, 0.01);
    ev_timer_start(GetLoop(), &tick);
    for (int i = 0; i < 2000 && !is_done(); i++) {
        ev_run(GetLoop(), EVRUN_ONCE);
    }
    ev_timer_stop(GetLoop(), &tick);
    EXPECT_TRUE(is_done());
}

// Binds a socket to a free port of the loopback address and returns the port.
inline int
BindToFreePort(int fd)
{
    sockaddr_in in = {};
    in.sin_family = AF_INET;
    in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(fd, (sockaddr *)&in, sizeof in);
    socklen_t len = sizeof in;
    getsockname(fd, (sockaddr *)&in, &len);
    return ntohs(in.sin_port);
}

// A server that answers each request with the bytes that the test sets, valid
// HTTP or not, and by default closes the connection afterwards.
class RawServer {
  public:
    RawServer()
    {
        fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        address = "127.0.0.1:" + std::to_string(BindToFreePort(fd));
        listen(fd, 16);
        ev_io_init(&io, OnAccept, fd, EV_READ);
        io.data = this;
        ev_io_start(GetLoop(), &io);
    }
    ~RawServer()
    {
        ev_io_stop(GetLoop(), &io);
        close(fd);
        for (auto &connection : connections) {
            ev_io_stop(GetLoop(), &connection->io);
            close(connection->io.fd);
        }
    }
    std::string address;
    std::string answer; // sent when respond is not set
    // Returns the answer to a request; receives its head and the part of its
    // body that came with it.
    std::function<std::string(const std::string &)> respond;
    bool closes_after_answer = true;
    bool is_silent = false; // neither answers nor closes
    int requests = 0;       // received so far

  private:
    struct Connection {
        ev_io io;
        RawServer *server;
        std::string received;
    };
    static void
    OnAccept(struct ev_loop *loop, ev_io *io, int)
    {
        auto *self = (RawServer *)io->data;
        auto connection = std::make_unique<Connection>();
        connection->server = self;
        int fd = accept(io->fd, nullptr, nullptr);
        ev_io_init(&connection->io, OnData, fd, EV_READ);
        connection->io.data = connection.get();
        ev_io_start(loop, &connection->io);
        self->connections.push_back(std::move(connection));
    }
    static void
    OnData(struct ev_loop *loop, ev_io *io, int)
    {
        auto *connection = (Connection *)io->data;
        RawServer *self = connection->server;
        char block[4096];
        ssize_t n = recv(io->fd, block, sizeof block, 0);
        if (n > 0) {
            connection->received.append(block, (size_t)n);
        }
        bool has_head =
            connection->received.find("\r\n\r\n") != std::string::npos;
        if (n > 0 && has_head && !self->is_silent) {
            self->requests++;
            std::string text = self->respond
                                   ? self->respond(connection->received)
                                   : self->answer;
            connection->received.clear();
            send(io->fd, text.data(), text.size(), MSG_NOSIGNAL);
        }
        if (n <= 0 ||
            (has_head && self->closes_after_answer && !self->is_silent)) {
            ev_io_stop(loop, io);
            shutdown(io->fd, SHUT_RDWR);
        }
    }
    int fd;
    ev_io io;
    std::vector<std::unique_ptr<Connection>> connections;
};

// Returns an HTTP response with this body and its Content-Length; @status is
// such as "200 OK".
inline std::string
MakeResponse(const std::string &status, const std::string &body)
{
    return "HTTP/1.1 " + status +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}
