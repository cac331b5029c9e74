const HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** The target's headers that go on to the caller: none of the hop between target and side process. */
export const selectAnswerHeaders = (
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Readonly<Record<string, string>> =>
  Object.fromEntries(
    Object.entries(headers).flatMap(([name, value]) =>
      value === undefined || HOP_HEADERS.has(name.toLowerCase())
        ? []
        : [[name, Array.isArray(value) ? value.join(', ') : value] as const],
    ),
  );
