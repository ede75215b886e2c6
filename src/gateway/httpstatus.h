#pragma once

namespace persimmon::gateway {

// HTTP status codes that the gateway sends or interprets.
constexpr int kStatusOk = 200;
constexpr int kFirstNonSuccessStatus = 300;
constexpr int kStatusTimeout = 408;
constexpr int kStatusMisdirected = 421;
constexpr int kStatusTooManyRequests = 429;
constexpr int kFirstServerErrorStatus = 500;
constexpr int kStatusUnauthorized = 401;
constexpr int kStatusNotFound = 404;
constexpr int kStatusContentTooLarge = 413;
constexpr int kStatusHeadersTooLarge = 431;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusGatewayTimeout = 504;

/// Returns whether a status code implies that the upstream has not executed the call.
constexpr bool
ImpliesNotExecuted(int aStatus)
{
  return aStatus == kStatusTimeout || aStatus == kStatusMisdirected ||
         aStatus == kStatusTooManyRequests || aStatus == kStatusUnavailable;
}

} // namespace persimmon::gateway
