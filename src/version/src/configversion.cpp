#include <version/configversion.h>

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace snipehill
{

namespace
{

bool matchesPrefix(std::string_view path, std::string_view prefix) noexcept
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/' || path[prefix.size()] == '?';
}

} // namespace

const Route *findRoute(const ConfigVersion &config, std::string_view path) noexcept
{
    const Route *best = nullptr;
    for (const auto &[name, route] : config.routes) {
        if (matchesPrefix(path, route.value.prefix) && (!best || route.value.prefix.size() > best->prefix.size())) {
            best = &route.value;
        }
    }
    return best;
}

std::string sha256Hex(std::string_view secret)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(secret.data()), secret.size(), digest.data());
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(digest.size() * 2);
    for (const unsigned char byte : digest) {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

const Workspace *findWorkspaceBySecret(const ConfigVersion &config, std::string_view secret)
{
    // The lookup uses the hash of the secret, so its timing reveals nothing about the secret itself.
    const std::string hash = sha256Hex(secret);
    const auto name = config.keyNameByHash.find(hash);
    if (name == config.keyNameByHash.end()) {
        return nullptr;
    }
    const auto key = config.keys.find(name->second);
    if (key == config.keys.end() || CRYPTO_memcmp(key->second.value.sha256.data(), hash.data(), hash.size()) != 0) {
        return nullptr;
    }
    const auto workspace = config.workspaces.find(key->second.value.workspace);
    return workspace == config.workspaces.end() ? nullptr : &workspace->second.value;
}

} // namespace snipehill
