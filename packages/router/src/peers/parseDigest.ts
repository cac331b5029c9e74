import type { PeerDigest, RecentQuotas } from '@parsleyhall/routing';

const isRecord = (value: unknown): value is Readonly<Record<string, unknown>> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const parseCounts = (value: unknown): Readonly<Record<string, number>> | undefined =>
  isRecord(value) && Object.values(value).every((count) => Number.isFinite(count))
    ? (value as Readonly<Record<string, number>>)
    : undefined;

const parseRecentQuotas = (value: unknown): RecentQuotas | undefined =>
  isRecord(value) &&
  Object.values(value).every((parts) => Array.isArray(parts) && parts.every(Number.isFinite))
    ? (value as RecentQuotas)
    : undefined;

interface PeerMessage {
  readonly digest: PeerDigest;
  /** IP addresses of entries that the sender knows. */
  readonly knownAddresses: readonly string[];
}

/** Parses a datagram from another entry; undefined if it is malformed. */
export const parseDigest = (bytes: Buffer): PeerMessage | undefined => {
  let value: unknown;
  try {
    value = JSON.parse(bytes.toString('utf8'));
  } catch {
    return undefined;
  }
  if (!isRecord(value) || !isRecord(value.digest) || !Array.isArray(value.known)) {
    return undefined;
  }
  const { host, incarnation, sequence, configurationVersion, isLeaving } = value.digest;
  const inFlight = parseCounts(value.digest.inFlight);
  const quotaTaken = parseCounts(value.digest.quotaTaken);
  const quotaRecent = parseRecentQuotas(value.digest.quotaRecent);
  if (
    typeof host !== 'string' ||
    typeof incarnation !== 'number' ||
    typeof sequence !== 'number' ||
    typeof configurationVersion !== 'number' ||
    !Number.isSafeInteger(configurationVersion) ||
    inFlight === undefined ||
    quotaTaken === undefined ||
    quotaRecent === undefined
  ) {
    return undefined;
  }
  return {
    digest: {
      host,
      incarnation,
      sequence,
      configurationVersion,
      inFlight,
      quotaTaken,
      quotaRecent,
      tellsRecent: value.digest.tellsRecent === true,
      knowsWindow: value.digest.knowsWindow === true,
      isLeaving: isLeaving === true,
    },
    knownAddresses: value.known.filter((address) => typeof address === 'string'),
  };
};
