import { z } from 'zod';
import type { HostName } from '@parsleyhall/common';

const HIGHEST_PORT = 65_535;
const DEFAULT_HEARTBEAT_MS = 500;
const DEFAULT_PEER_TIMEOUT_MS = 2_500;
const DEFAULT_TICK_MS = 20;
const DEFAULT_HOST_LIST_POLL_MS = 1_000;
const DEFAULT_LOG_RETENTION_MS = 86_400_000;
const DEFAULT_LONG_PREFILL_TOKENS = 2_000;
const DEFAULT_MAXIMUM_BODY_BYTES = 8_388_608;
const LOOPBACK = '127.0.0.0/8';

const name = z
  .string()
  .min(1)
  .max(128)
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/, 'letters, digits, dot, underscore and hyphen');
const peer = z.union([z.ipv4(), z.cidrv4(), z.ipv6(), z.cidrv6()], 'an IP address or IP range');
const address = z
  .string()
  .regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:.]+\]):\d{1,5}$/, 'an IP address and a port')
  .describe('IP number and port');
const listener = z.strictObject({
  address: z.union([z.ipv4(), z.ipv6()], 'an IP address').describe('IP number to listen on'),
  port: z
    .int()
    .min(0)
    .max(HIGHEST_PORT)
    .describe('Port; 0 takes a free one, told by the log line listening'),
});
const milliseconds = z.int().min(1);
const count = z.int().min(1);

/** Settings that both kinds of process share, and the building blocks of the others. */
export const settingsFields = {
  name,
  address,
  milliseconds,
  count,
  shared: {
    /** Name of this process; stays the same after a restart. */
    process: name.describe('Name of the process; the same after a restart'),
    host: name.transform((value) => value as HostName).describe('Name of the host'),
    dataCentre: name.describe('Data centre of the host'),
    listen: listener.describe('Where callers (entry) or entries (side process) connect'),
    operatorListen: listener.describe('Where operators connect for /status and /metrics'),
    log: z.strictObject({ address }).describe("The platform's log service"),
    hostList: z.strictObject({ address }).describe("The platform's list of hosts"),
    logLevel: z
      .enum(['trace', 'debug', 'info', 'warn', 'error', 'fatal'])
      .default('info')
      .describe('Lowest level of log lines that are written'),
    allowedPeers: z
      .array(peer)
      .default([LOOPBACK])
      .describe('IP addresses and ranges that may connect to a side process'),
    allowedOperators: z
      .array(peer)
      .default([LOOPBACK])
      .describe("IP addresses and ranges that may connect to the operators' listener"),
    heartbeatMs: milliseconds
      .default(DEFAULT_HEARTBEAT_MS)
      .describe('Time between heartbeats to a peer'),
    peerTimeoutMs: milliseconds
      .default(DEFAULT_PEER_TIMEOUT_MS)
      .describe('Silence after which the stream to a peer counts as broken'),
    tickMs: milliseconds.default(DEFAULT_TICK_MS).describe('Time between ticks of the reducer'),
    hostListPollMs: milliseconds
      .default(DEFAULT_HOST_LIST_POLL_MS)
      .describe('Time between two readings of the list of hosts'),
    logRetentionMs: milliseconds
      .default(DEFAULT_LOG_RETENTION_MS)
      .describe('Time that the log keeps records; not above what it really keeps'),
    longPrefillTokens: count
      .default(DEFAULT_LONG_PREFILL_TOKENS)
      .describe('Prompt tokens from which on a prefill is long'),
    maximumBodyBytes: count
      .default(DEFAULT_MAXIMUM_BODY_BYTES)
      .describe('Largest body of a request'),
  },
} as const;
