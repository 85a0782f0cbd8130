// Sends bytes that are no call, too long or incomplete. The server must answer
// with an error or close the connection, and keep serving other connections.

#include <LibControl/ControlHandlers.h>
#include <LibCore/Daemon.h>
#include <LibHttp/HttpServer.h>
#include <LibRpc/RpcChannel.h>
#include <LibRpc/RpcServer.h>
#include <Support/FakeFolder.h>
#include <Support/LoopFixture.h>

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <random>
#include <sys/socket.h>
#include <unistd.h>

static std::uint16_t freePort()
{
    return TestSupport::freeEndpoint().port;
}

namespace
{

/** A control node that serves operators on a real socket and a real loop. */
class Server
{
public:
    Server() : daemon("test"), port(freePort())
    {
        auto made = Control::ControlNode::create({.send =
                                                         [](const Protocol::Member &, const Protocol::LogMessage &) {
                                                         }},
            this->folder,
            this->daemon.timers(),
            Core::systemClock());
        this->node = std::move(made.value());
        const auto handler = std::make_shared<Control::OperatorHandler>(*this->node);
        auto server = Rpc::RpcServer::create({.name = "test",
                                                 .endpoint = {.address = TestSupport::ownLoopbackAddress(), .port = this->port},
                                                 .processor = std::make_shared<Protocol::OperatorAsyncProcessor>(handler),
                                                 .limits = {.maximumFrameBytes = 100'000}},
            this->daemon.timers());
        cr_assert(server.has_value(), "%s", server.has_value() ? "" : server.error().message.c_str());
        this->rpc = std::move(server.value());
    }

    void runLoop(int rounds = 50)
    {
        for (int round = 0; round < rounds; ++round) {
            g_main_context_iteration(nullptr, FALSE);
            usleep(200);
        }
    }

    /** Whether the server still answers a valid call. */
    bool answersCalls()
    {
        const auto channel
            = Rpc::RpcChannel::create({.endpoint = {.address = TestSupport::ownLoopbackAddress(), .port = this->port}, .limits = {}}, this->daemon.timers());
        bool answered = false;
        Rpc::call<Protocol::OperatorCobClient, std::string>(
            channel,
            [](Protocol::OperatorCobClient &client, const std::function<void(Protocol::OperatorCobClient *)> &callback) {
                client.dump(callback);
            },
            [](Protocol::OperatorCobClient &client, std::string &reply) {
                client.recv_dump(reply);
            },
            [&answered](const Core::Result<std::string> &reply) {
                answered = reply.has_value();
            });
        for (int round = 0; round < 20 && !answered; ++round) {
            this->runLoop();
        }
        return answered;
    }

    Core::Daemon daemon;
    std::uint16_t port;
    TestSupport::FakeFolder folder;
    std::unique_ptr<Control::ControlNode> node;
    std::unique_ptr<Rpc::RpcServer> rpc;
};

}

static int connectTo(std::uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, TestSupport::ownLoopbackAddress().c_str(), &address.sin_addr);
    cr_assert_eq(connect(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)), 0);
    fcntl(descriptor, F_SETFL, O_NONBLOCK);
    return descriptor;
}

Test(RpcServer, keepsServingAfterRandomBytes)
{
    Server server;
    std::mt19937 random(1);
    for (int round = 0; round < 200; ++round) {
        const int descriptor = connectTo(server.port);
        std::string bytes(random() % 300, '\0');
        for (auto &byte : bytes) {
            byte = static_cast<char>(random());
        }
        if (round % 2 == 0 && bytes.size() >= 4) {
            // A frame with the right length and random content.
            bytes[0] = bytes[1] = 0;
            bytes[2] = static_cast<char>((bytes.size() - 4) >> 8U);
            bytes[3] = static_cast<char>(bytes.size() - 4);
        }
        static_cast<void>(write(descriptor, bytes.data(), bytes.size()));
        server.runLoop(3);
        close(descriptor);
    }
    cr_expect(server.answersCalls());
    server.runLoop();
    cr_expect_leq(server.rpc->connectionCount(), 1U);
}

Test(RpcServer, closesConnectionsThatSendAFrameOverTheLimit)
{
    Server server;
    const int descriptor = connectTo(server.port);
    const unsigned char header[] = {0x7f, 0xff, 0xff, 0xff};
    cr_assert_eq(write(descriptor, header, sizeof(header)), 4);
    server.runLoop();
    char byte = 0;
    cr_expect_eq(read(descriptor, &byte, 1), 0, "the connection is closed");
    close(descriptor);
    cr_expect(server.answersCalls());
}

Test(RpcChannel, failsEveryCallWhenNoServerListens)
{
    Core::Daemon daemon("test");
    const auto channel = Rpc::RpcChannel::create({.endpoint = {.address = "127.0.0.1", .port = 1}, .limits = {}}, daemon.timers());
    int failures = 0;
    for (int call = 0; call < 3; ++call) {
        Rpc::call<Protocol::OperatorCobClient, std::string>(
            channel,
            [](Protocol::OperatorCobClient &client, const std::function<void(Protocol::OperatorCobClient *)> &callback) {
                client.dump(callback);
            },
            [](Protocol::OperatorCobClient &client, std::string &reply) {
                client.recv_dump(reply);
            },
            [&failures](const Core::Result<std::string> &reply) {
                failures += reply.has_value() ? 0 : 1;
            });
    }
    for (int round = 0; round < 200 && failures < 3; ++round) {
        g_main_context_iteration(nullptr, FALSE);
        usleep(500);
    }
    cr_expect_eq(failures, 3);
}

static std::string exchange(std::uint16_t port, const std::string &bytes)
{
    const int descriptor = connectTo(port);
    static_cast<void>(write(descriptor, bytes.data(), bytes.size()));
    std::string answer;
    char buffer[4096];
    for (int round = 0; round < 100; ++round) {
        g_main_context_iteration(nullptr, FALSE);
        usleep(200);
        const ssize_t count = read(descriptor, buffer, sizeof(buffer));
        if (count > 0) {
            answer.append(buffer, static_cast<std::size_t>(count));
        }
    }
    close(descriptor);
    return answer;
}

Test(HttpServer, rejectsOversizedRequestsAndKeepsServingAfterMalformedOnes)
{
    Core::Daemon daemon("test");
    const std::uint16_t port = freePort();
    const Http::Handler handler = [](const Http::Request &request, const Http::ResponderPointer &responder) {
        responder->respond(Http::Response{.status = 200, .body = "body=" + std::to_string(request.body.size()), .headers = {}});
    };
    const auto server = Http::HttpServer::create(
        {.name = "test", .endpoint = {.address = TestSupport::ownLoopbackAddress(), .port = port}, .handler = handler, .maximumBodyBytes = 1000},
        daemon.timers());
    cr_assert(server.has_value());
    cr_expect_neq(exchange(port, "GET / HTTP/1.1\r\nHost: x\r\n\r\n").find("200 OK"), std::string::npos);
    const std::string tooLong = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\n" + std::string(2000, 'x');
    const std::string refusal = exchange(port, tooLong);
    cr_expect_neq(refusal.find("413"), std::string::npos, "%s", refusal.c_str());
    cr_expect_neq(refusal.find("not-run"), std::string::npos, "%s", refusal.c_str());
    const std::string chunked = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + std::string(2000, 'x') + "\r\n0\r\n\r\n";
    cr_expect_neq(exchange(port, chunked).find("413"), std::string::npos);
    for (const char *bytes : {"", "\r\n\r\n", "nonsense\r\n\r\n", "GET", "GET / HTTP/9.9\r\n\r\n", "POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n"}) {
        static_cast<void>(exchange(port, bytes));
    }
    cr_expect_neq(exchange(port, "GET / HTTP/1.1\r\nHost: x\r\n\r\n").find("200 OK"), std::string::npos);
}
