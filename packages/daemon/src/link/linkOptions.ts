import type { ChannelOptions } from '@grpc/grpc-js';

const KEEP_ALIVE_PERIOD_MS = 2_000;
const KEEP_ALIVE_TIMEOUT_MS = 2_000;
const FIRST_RECONNECT_MS = 50;
const LONGEST_RECONNECT_MS = 1_000;
const ROOM_BESIDE_BODY_BYTES = 1_048_576;

/** Options of the gRPC library for both ends; its retries, service configuration and shared channels stay off. */
export const linkOptions = (maximumBodyBytes: number): ChannelOptions => ({
  'grpc.keepalive_time_ms': KEEP_ALIVE_PERIOD_MS,
  'grpc.keepalive_timeout_ms': KEEP_ALIVE_TIMEOUT_MS,
  'grpc.keepalive_permit_without_calls': 1,
  'grpc.initial_reconnect_backoff_ms': FIRST_RECONNECT_MS,
  'grpc.min_reconnect_backoff_ms': FIRST_RECONNECT_MS,
  'grpc.max_reconnect_backoff_ms': LONGEST_RECONNECT_MS,
  'grpc.enable_retries': 0,
  'grpc.service_config_disable_resolution': 1,
  'grpc.use_local_subchannel_pool': 1,
  'grpc.max_receive_message_length': maximumBodyBytes + ROOM_BESIDE_BODY_BYTES,
  'grpc.max_send_message_length': maximumBodyBytes + ROOM_BESIDE_BODY_BYTES,
  'grpc.enable_http_proxy': 0,
});
