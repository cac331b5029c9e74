const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Selects the target's headers that are forwarded to the caller, without the hop-by-hop headers. */
export const selectResponseHeaders = (
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Readonly<Record<string, string>> =>
  Object.fromEntries(
    Object.entries(headers).flatMap(([name, value]) =>
      value === undefined || HOP_BY_HOP_HEADERS.has(name.toLowerCase())
        ? []
        : [[name, Array.isArray(value) ? value.join(', ') : value] as const],
    ),
  );
