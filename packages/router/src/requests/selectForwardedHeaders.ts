import type { RawHeaders } from './rawHeaders.js';

/** Headers that apply to a single connection and are never forwarded. */
const HOP_BY_HOP_HEADERS = new Set([
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

/** Names of the headers that the Connection header declares to be hop-by-hop as well. */
const getConnectionOptions = (headers: RawHeaders): ReadonlySet<string> => {
  const connectionOptions = new Set<string>();
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() === 'connection') {
      (headers[index + 1] ?? '')
        .split(',')
        .map((name) => name.trim().toLowerCase())
        .forEach((name) => connectionOptions.add(name));
    }
  }
  return connectionOptions;
};

/** Selects the headers to forward: all except hop-by-hop headers and the excluded names. */
export const selectForwardedHeaders = (
  headers: RawHeaders,
  excludedNames: ReadonlySet<string>,
): readonly string[] => {
  const connectionOptions = getConnectionOptions(headers);
  const selected: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index] ?? '';
    const lowerCase = name.toLowerCase();
    if (
      !HOP_BY_HOP_HEADERS.has(lowerCase) &&
      !connectionOptions.has(lowerCase) &&
      !excludedNames.has(lowerCase)
    ) {
      selected.push(name, headers[index + 1] ?? '');
    }
  }
  return selected;
};
