import { z } from 'zod';
import type { HostName } from '@parsleyhall/common';

const MAX_PORT = 65_535;
const DEFAULT_HEARTBEAT_MS = 500;
const DEFAULT_PEER_TIMEOUT_MS = 2_500;
const DEFAULT_TICK_MS = 20;
const DEFAULT_HOST_LIST_POLL_MS = 1_000;
const DEFAULT_LOG_RETENTION_MS = 86_400_000;
const DEFAULT_LONG_PREFILL_TOKENS = 2_000;
const DEFAULT_MAXIMUM_BODY_BYTES = 8_388_608;
const LOOPBACK_RANGE = '127.0.0.0/8';

const name = z
  .string()
  .min(1)
  .max(128)
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/, 'letters, digits, dot, underscore and hyphen');
const peer = z.union([z.ipv4(), z.cidrv4(), z.ipv6(), z.cidrv6()], 'an IP address or IP range');
const address = z
  .string()
  .regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:.]+\]):\d{1,5}$/, 'an IP address and a port')
  .describe('IP address and port');
const listener = z.strictObject({
  address: z.union([z.ipv4(), z.ipv6()], 'an IP address').describe('IP address to listen on'),
  port: z
    .int()
    .min(0)
    .max(MAX_PORT)
    .describe('Port; 0 selects a free port, which the log line listening names'),
});
const milliseconds = z.int().min(1);
const count = z.int().min(1);

/** Settings that entries and side processes share, and schemas for the fields of other settings. */
export const settingsFields = {
  name,
  address,
  milliseconds,
  count,
  shared: {
    process: name.describe('Name of the process; must stay the same after a restart'),
    host: name.transform((value) => value as HostName).describe('Name of the host'),
    dataCentre: name.describe('Data centre of the host'),
    listen: listener.describe('Address that callers (entry) or entries (side process) connect to'),
    operatorListen: listener.describe('Address that operators connect to for /status and /metrics'),
    log: z.strictObject({ address }).describe("The platform's log service"),
    hostList: z.strictObject({ address }).describe("The platform's host list service"),
    logLevel: z
      .enum(['trace', 'debug', 'info', 'warn', 'error', 'fatal'])
      .default('info')
      .describe('Lowest level of log lines that are written'),
    allowedPeers: z
      .array(peer)
      .default([LOOPBACK_RANGE])
      .describe('IP addresses and ranges that may connect to a side process'),
    allowedOperators: z
      .array(peer)
      .default([LOOPBACK_RANGE])
      .describe("IP addresses and ranges that may connect to the operators' listener"),
    heartbeatMs: milliseconds
      .default(DEFAULT_HEARTBEAT_MS)
      .describe('Time between heartbeats to a peer'),
    peerTimeoutMs: milliseconds
      .default(DEFAULT_PEER_TIMEOUT_MS)
      .describe('Silence after which the stream to a peer is considered broken'),
    tickMs: milliseconds.default(DEFAULT_TICK_MS).describe('Time between ticks of the reducer'),
    hostListPollMs: milliseconds
      .default(DEFAULT_HOST_LIST_POLL_MS)
      .describe('Time between two reads of the host list'),
    logRetentionMs: milliseconds
      .default(DEFAULT_LOG_RETENTION_MS)
      .describe('Time that the log keeps records; must not exceed its actual retention'),
    longPrefillTokens: count
      .default(DEFAULT_LONG_PREFILL_TOKENS)
      .describe('Number of prompt tokens from which a prefill is considered long'),
    maximumBodyBytes: count
      .default(DEFAULT_MAXIMUM_BODY_BYTES)
      .describe('Maximum size of the body of a request'),
  },
} as const;
