/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Serializes Thrift structures, and deserializes them within limits that hostile
// bytes can't exceed.

#pragma once

#include <LibCore/Result.h>

#include <memory>
#include <string>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace Rpc
{

/** The longest string and the largest container that are accepted when reading. */
constexpr std::int32_t MaximumStringBytes = 8 * 1024 * 1024;
constexpr std::int32_t MaximumContainerItems = 1'000'000;

/** Returns the factory of Thrift's compact protocol with the limits above. */
[[nodiscard]] inline std::shared_ptr<apache::thrift::protocol::TProtocolFactory> protocolFactory()
{
    static const auto factory = [] {
        auto made = std::make_shared<apache::thrift::protocol::TCompactProtocolFactory>();
        made->setStringSizeLimit(MaximumStringBytes);
        made->setContainerSizeLimit(MaximumContainerItems);
        return made;
    }();
    return factory;
}

/** Returns a Thrift structure in the compact protocol. */
template<typename Structure>
[[nodiscard]] std::string serialize(const Structure &structure)
{
    const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    const auto protocol = protocolFactory()->getProtocol(buffer);
    structure.write(protocol.get());
    return buffer->getBufferAsString();
}

/** Parses a Thrift structure from the compact protocol. Unknown fields are skipped. Fails with Corruption. */
template<typename Structure>
[[nodiscard]] Core::Result<Structure> deserialize(std::string_view bytes)
{
    using Buffer = apache::thrift::transport::TMemoryBuffer;
    // NOTE: OBSERVE does not write to the bytes, although the library's signature is not const.
    auto *data = reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data()));
    const auto buffer = std::make_shared<Buffer>(data, static_cast<std::uint32_t>(bytes.size()), Buffer::OBSERVE);
    const auto protocol = protocolFactory()->getProtocol(buffer);
    Structure structure;
    try {
        structure.read(protocol.get());
    } catch (const std::exception &exception) {
        return Core::failure(Core::ErrorKind::Corruption, exception.what());
    }
    return structure;
}

}
