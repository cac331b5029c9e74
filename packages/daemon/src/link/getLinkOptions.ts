import type { ChannelOptions } from '@grpc/grpc-js';

const KEEP_ALIVE_PERIOD_MS = 2_000;
const KEEP_ALIVE_TIMEOUT_MS = 2_000;
const INITIAL_RECONNECT_MS = 50;
const MAX_RECONNECT_MS = 1_000;
const MESSAGE_OVERHEAD_BYTES = 1_048_576;

/** Returns the gRPC options for both ends; gRPC's retries, service configuration and shared channels are turned off. */
export const getLinkOptions = (maximumBodyBytes: number): ChannelOptions => ({
  'grpc.keepalive_time_ms': KEEP_ALIVE_PERIOD_MS,
  'grpc.keepalive_timeout_ms': KEEP_ALIVE_TIMEOUT_MS,
  'grpc.keepalive_permit_without_calls': 1,
  'grpc.initial_reconnect_backoff_ms': INITIAL_RECONNECT_MS,
  'grpc.min_reconnect_backoff_ms': INITIAL_RECONNECT_MS,
  'grpc.max_reconnect_backoff_ms': MAX_RECONNECT_MS,
  'grpc.enable_retries': 0,
  'grpc.service_config_disable_resolution': 1,
  'grpc.use_local_subchannel_pool': 1,
  'grpc.max_receive_message_length': maximumBodyBytes + MESSAGE_OVERHEAD_BYTES,
  'grpc.max_send_message_length': maximumBodyBytes + MESSAGE_OVERHEAD_BYTES,
  'grpc.enable_http_proxy': 0,
});
