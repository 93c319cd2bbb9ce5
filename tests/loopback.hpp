// loopback.hpp - A loop and a server on loopback for tests of real sockets.
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
Loop()
{
    return ev_default_loop(EVFLAG_AUTO);
}

// Runs the loop until a condition holds.
inline void
RunUntil(std::function<bool()> is_done)
{
    ev_timer tick;
    ev_timer_init(
        &tick, [](struct ev_loop *, ev_timer *, int) {}, 0.01, 0.01);
    ev_timer_start(Loop(), &tick);
    for (int i = 0; i < 2000 && !is_done(); i++) {
        ev_run(Loop(), EVRUN_ONCE);
    }
    ev_timer_stop(Loop(), &tick);
    EXPECT_TRUE(is_done());
}

// A server that answers each request with given bytes, or with those that
// respond() makes of it, then maybe closes.
class RawServer {
  public:
    RawServer()
    {
        fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        sockaddr_in in = {};
        in.sin_family = AF_INET;
        in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(fd, (sockaddr *)&in, sizeof in);
        listen(fd, 16);
        socklen_t len = sizeof in;
        getsockname(fd, (sockaddr *)&in, &len);
        address = "127.0.0.1:" + std::to_string(ntohs(in.sin_port));
        ev_io_init(&io, OnAccept, fd, EV_READ);
        io.data = this;
        ev_io_start(Loop(), &io);
    }
    ~RawServer()
    {
        ev_io_stop(Loop(), &io);
        close(fd);
        for (auto &link : links) {
            ev_io_stop(Loop(), &link->io);
            close(link->io.fd);
        }
    }
    std::string address;
    std::string answer;
    std::function<std::string(const std::string &)> respond;
    bool closes = true;
    bool is_mute = false;
    int requests = 0;

  private:
    struct Link {
        ev_io io;
        RawServer *server;
        std::string in;
    };
    static void
    OnAccept(struct ev_loop *loop, ev_io *io, int)
    {
        auto *self = (RawServer *)io->data;
        auto link = std::make_unique<Link>();
        link->server = self;
        int fd = accept(io->fd, nullptr, nullptr);
        ev_io_init(&link->io, OnData, fd, EV_READ);
        link->io.data = link.get();
        ev_io_start(loop, &link->io);
        self->links.push_back(std::move(link));
    }
    static void
    OnData(struct ev_loop *loop, ev_io *io, int)
    {
        auto *link = (Link *)io->data;
        RawServer *self = link->server;
        char block[4096];
        ssize_t n = recv(io->fd, block, sizeof block, 0);
        if (n > 0) {
            link->in.append(block, (size_t)n);
        }
        bool has_head = link->in.find("\r\n\r\n") != std::string::npos;
        if (n > 0 && has_head && !self->is_mute) {
            self->requests++;
            std::string text =
                self->respond ? self->respond(link->in) : self->answer;
            link->in.clear();
            send(io->fd, text.data(), text.size(), MSG_NOSIGNAL);
        }
        if (n <= 0 || (has_head && self->closes && !self->is_mute)) {
            ev_io_stop(loop, io);
            shutdown(io->fd, SHUT_RDWR);
        }
    }
    int fd;
    ev_io io;
    std::vector<std::unique_ptr<Link>> links;
};

inline std::string
Response(const std::string &status, const std::string &body)
{
    return "HTTP/1.1 " + status +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}
