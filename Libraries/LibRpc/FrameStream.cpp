/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibRpc/FrameStream.h>

#include <fmt/core.h>

namespace Rpc
{

static constexpr std::size_t ReadBufferBytes = 64 * 1024;
static constexpr std::size_t LengthBytes = 4;

// User data of a GIO callback. It keeps the stream alive until the operation has ended.
using KeepAlive = std::shared_ptr<FrameStream>;

std::shared_ptr<FrameStream> FrameStream::create(Core::ObjectPointer<GIOStream> stream, FrameLimits limits)
{
    return std::shared_ptr<FrameStream>(new FrameStream(std::move(stream), limits));
}

FrameStream::FrameStream(Core::ObjectPointer<GIOStream> stream, FrameLimits limits)
    : stream(std::move(stream)), cancellable(g_cancellable_new()), limits(limits), readBuffer(ReadBufferBytes, '\0')
{
}

FrameStream::~FrameStream() = default;

void FrameStream::start(FrameHook frameReceivedHook, ClosedHook closedHook)
{
    this->frameReceived = std::move(frameReceivedHook);
    this->closed = std::move(closedHook);
    this->readMore();
}

void FrameStream::readMore()
{
    if (this->isClosed) {
        return;
    }
    auto *input = g_io_stream_get_input_stream(this->stream.get());
    g_input_stream_read_async(input,
        this->readBuffer.data(),
        this->readBuffer.size(),
        G_PRIORITY_DEFAULT,
        this->cancellable.get(),
        readDone,
        new KeepAlive(this->shared_from_this()));
}

void FrameStream::readDone(GObject *source, GAsyncResult *result, gpointer data)
{
    const std::unique_ptr<KeepAlive> keepAlive(static_cast<KeepAlive *>(data));
    auto &self = **keepAlive;
    GError *rawError = nullptr;
    const gssize count = g_input_stream_read_finish(G_INPUT_STREAM(source), result, &rawError);
    if (rawError != nullptr) {
        const Core::ErrorPointer error(rawError);
        self.close(error->message);
        return;
    }
    if (count == 0) {
        self.close("the peer closed the connection");
        return;
    }
    self.receiveBytes(self.readBuffer.data(), static_cast<std::size_t>(count));
    self.readMore();
}

void FrameStream::receiveBytes(const char *bytes, std::size_t count)
{
    this->received += count;
    this->incoming.append(bytes, count);
    this->extractFrames();
}

static std::uint32_t readLength(const std::string &bytes, std::size_t offset)
{
    std::uint32_t length = 0;
    for (std::size_t index = 0; index < LengthBytes; ++index) {
        length = (length << 8U) | static_cast<std::uint8_t>(bytes[offset + index]);
    }
    return length;
}

void FrameStream::extractFrames()
{
    std::size_t offset = 0;
    // NOTE: The hook is copied because it may close the stream, which resets the member.
    const auto hook = this->frameReceived;
    while (!this->isClosed && this->incoming.size() - offset >= LengthBytes) {
        const std::uint32_t length = readLength(this->incoming, offset);
        if (length > this->limits.maximumFrameBytes) {
            this->close(fmt::format("a frame of {} bytes is over the limit of {}", length, this->limits.maximumFrameBytes));
            return;
        }
        if (this->incoming.size() - offset - LengthBytes < length) {
            break;
        }
        std::string frame = this->incoming.substr(offset + LengthBytes, length);
        offset += LengthBytes + length;
        hook(std::move(frame));
    }
    this->incoming.erase(0, std::min(offset, this->incoming.size()));
}

void FrameStream::send(const std::string &payload)
{
    if (this->isClosed) {
        return;
    }
    const auto length = static_cast<std::uint32_t>(payload.size());
    for (const unsigned shift : {24U, 16U, 8U, 0U}) {
        this->outgoing += static_cast<char>(length >> shift);
    }
    this->outgoing += payload;
    if (this->outgoing.size() > this->limits.maximumQueuedBytes) {
        this->close("the peer reads too slowly");
        return;
    }
    this->writeMore();
}

void FrameStream::writeMore()
{
    if (this->isWriteInFlight || this->isClosed || this->outgoing.empty()) {
        return;
    }
    this->isWriteInFlight = true;
    this->writing = std::move(this->outgoing);
    this->outgoing.clear();
    auto *output = g_io_stream_get_output_stream(this->stream.get());
    g_output_stream_write_all_async(
        output, this->writing.data(), this->writing.size(), G_PRIORITY_DEFAULT, this->cancellable.get(), writeDone, new KeepAlive(this->shared_from_this()));
}

void FrameStream::writeDone(GObject *source, GAsyncResult *result, gpointer data)
{
    const std::unique_ptr<KeepAlive> keepAlive(static_cast<KeepAlive *>(data));
    auto &self = **keepAlive;
    GError *rawError = nullptr;
    gsize written = 0;
    const bool complete = g_output_stream_write_all_finish(G_OUTPUT_STREAM(source), result, &written, &rawError) != FALSE;
    self.isWriteInFlight = false;
    self.sent += written;
    if (!complete) {
        const Core::ErrorPointer error(rawError);
        self.close(error->message);
        return;
    }
    self.writeMore();
}

void FrameStream::close(const std::string &reason)
{
    if (this->isClosed) {
        return;
    }
    this->isClosed = true;
    const auto keepAlive = this->shared_from_this();
    g_cancellable_cancel(this->cancellable.get());
    g_io_stream_close_async(this->stream.get(), G_PRIORITY_DEFAULT, nullptr, nullptr, nullptr);
    this->frameReceived = nullptr;
    const auto hook = std::exchange(this->closed, nullptr);
    if (hook) {
        hook(reason);
    }
}

bool FrameStream::hasPartialFrame() const
{
    return !this->incoming.empty();
}

bool FrameStream::hasUnwritten() const
{
    return this->isWriteInFlight || !this->outgoing.empty();
}

std::uint64_t FrameStream::bytesReceived() const
{
    return this->received;
}

std::uint64_t FrameStream::bytesSent() const
{
    return this->sent;
}

}
