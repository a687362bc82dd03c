#pragma once

#include <ibishinge/base/endpoint.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace ibishinge {

/// A TCP socket bound to a free port of the loopback address. It refuses connections until `listen`
/// is called on its descriptor.
class bound_socket
{
public:
    bound_socket()
        : m_descriptor(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(m_descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address); // NOLINT
        socklen_t length = sizeof address;
        getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&address), &length); // NOLINT
        m_port = ntohs(address.sin_port);
    }
    ~bound_socket()
    {
        close(m_descriptor);
    }
    bound_socket(const bound_socket &) = delete;
    bound_socket &operator=(const bound_socket &) = delete;

    [[nodiscard]] int descriptor() const
    {
        return m_descriptor;
    }
    [[nodiscard]] endpoint where() const
    {
        return {"127.0.0.1", m_port};
    }

private:
    int m_descriptor;
    std::uint16_t m_port = 0;
};

/// A TCP connection on which tests send whatever bytes they want. Not thread-safe.
class raw_socket
{
public:
    /// Takes over a connected socket.
    explicit raw_socket(int descriptor)
        : m_descriptor(descriptor)
    {
        // Bounds tests whose peer neither answers nor closes.
        const timeval bound {10, 0};
        setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &bound, sizeof bound);
    }
    explicit raw_socket(const endpoint &to)
        : raw_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(to.port);
        inet_pton(AF_INET, to.address.c_str(), &address.sin_addr);
        m_connected = connect(m_descriptor, reinterpret_cast<sockaddr *>(&address), // NOLINT
                              sizeof address)
                      == 0;
    }
    ~raw_socket()
    {
        close(m_descriptor);
    }
    raw_socket(const raw_socket &) = delete;
    raw_socket &operator=(const raw_socket &) = delete;

    [[nodiscard]] bool connected() const
    {
        return m_connected;
    }

    /// Returns false if the peer has closed the connection.
    bool write(const std::string &bytes)
    {
        std::size_t done = 0;
        while (done < bytes.size()) {
            const auto count =
                send(m_descriptor, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            done += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Tells the peer that nothing more will be sent; its response can still be read.
    void endWriting()
    {
        shutdown(m_descriptor, SHUT_WR);
    }

    /// Returns what has arrived, "" if the peer has closed the connection, and nothing if it has
    /// neither sent nor closed within `bound`.
    [[nodiscard]] std::optional<std::string> read(std::chrono::milliseconds bound)
    {
        const timeval time {bound.count() / 1000, bound.count() % 1000 * 1000};
        setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
        std::array<char, 4096> buffer {};
        const auto count = recv(m_descriptor, buffer.data(), buffer.size(), 0);
        if (count < 0) {
            // A reset is how a connection is closed whose bytes were not all read.
            return errno == EAGAIN ? std::nullopt : std::optional<std::string>("");
        }
        return std::string(buffer.data(), static_cast<std::size_t>(count));
    }

    /// Returns all bytes until the peer closes the connection, or nothing if it stays open for 10
    /// s.
    [[nodiscard]] std::optional<std::string> readToEnd()
    {
        std::string all;
        while (true) {
            const auto part = read(std::chrono::seconds(10));
            if (!part) {
                return std::nullopt;
            }
            if (part->empty()) {
                return all;
            }
            all += *part;
        }
    }

private:
    int m_descriptor;
    bool m_connected = true;
};

} // namespace ibishinge
