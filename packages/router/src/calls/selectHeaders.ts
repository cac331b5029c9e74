import type { RawHeaders } from './rawHeaders.js';

/** Headers that concern one connection alone. */
const CONNECTION_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
  'content-length',
]);

const getNamedByConnection = (headers: RawHeaders): ReadonlySet<string> => {
  const named = new Set<string>();
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() === 'connection') {
      (headers[index + 1] ?? '')
        .split(',')
        .map((name) => name.trim().toLowerCase())
        .forEach((name) => named.add(name));
    }
  }
  return named;
};

/** The headers that are handed on: all but those of the connection and those left out. */
export const selectHeaders = (
  headers: RawHeaders,
  leftOut: ReadonlySet<string>,
): readonly string[] => {
  const named = getNamedByConnection(headers);
  const selected: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index] ?? '';
    const lowerCase = name.toLowerCase();
    if (!CONNECTION_HEADERS.has(lowerCase) && !named.has(lowerCase) && !leftOut.has(lowerCase)) {
      selected.push(name, headers[index + 1] ?? '');
    }
  }
  return selected;
};
