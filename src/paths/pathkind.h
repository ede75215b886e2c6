#pragma once

namespace persimmon::paths {

/// How a connection of this process reaches an upstream.
enum class path_kind
{
  direct,
  /// Through a peer, which passes the bytes on.
  relayed
};

/// Returns the name of a path for logs and metrics.
[[nodiscard]] constexpr const char*
PathName(path_kind aPath)
{
  return aPath == path_kind::direct ? "direct" : "relayed";
}

} // namespace persimmon::paths
