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
  .regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:.]+\]):\d{1,5}$/, 'an IP address and a port');
const listener = z.strictObject({
  address: z.union([z.ipv4(), z.ipv6()], 'an IP address'),
  port: z.int().min(0).max(HIGHEST_PORT),
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
    process: name,
    host: name.transform((value) => value as HostName),
    dataCentre: name,
    listen: listener,
    operatorListen: listener,
    log: z.strictObject({ address }),
    hostList: z.strictObject({ address }),
    logLevel: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'fatal']).default('info'),
    allowedPeers: z.array(peer).default([LOOPBACK]),
    allowedOperators: z.array(peer).default([LOOPBACK]),
    heartbeatMs: milliseconds.default(DEFAULT_HEARTBEAT_MS),
    peerTimeoutMs: milliseconds.default(DEFAULT_PEER_TIMEOUT_MS),
    tickMs: milliseconds.default(DEFAULT_TICK_MS),
    hostListPollMs: milliseconds.default(DEFAULT_HOST_LIST_POLL_MS),
    logRetentionMs: milliseconds.default(DEFAULT_LOG_RETENTION_MS),
    longPrefillTokens: count.default(DEFAULT_LONG_PREFILL_TOKENS),
    maximumBodyBytes: count.default(DEFAULT_MAXIMUM_BODY_BYTES),
  },
} as const;
